#ifndef DAEMON_SIDECAR_PEER_SERVICE_H
#define DAEMON_SIDECAR_PEER_SERVICE_H

#include "daemon/link/fwd.h"
#include "daemon/net/connection_server.h"
#include "daemon/peer/call_frames.h"
#include "daemon/peer/peer_connection.h"
#include "daemon/sidecar/sidecar.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace magnolia::daemon {

class SidecarCall;

struct PeerServiceOptions {
  PeerIdentity Own;
  std::size_t BodyBytes = 0;
  // Memory for the bodies of requests; null for no limit on their sum.
  BodyMemory *Memory = nullptr;
  // Shares the link of the node among large bodies and measures its use; null
  // for neither.
  LinkPacer *Link = nullptr;
  policy::Duration HandshakeTimeout = std::chrono::seconds(2);
  // Maximum pause within a message.
  policy::Duration ReadTimeout = std::chrono::seconds(10);
  // Longer than the idle timeout of entry nodes, so that they close first and
  // no request is sent on a connection that is being closed.
  policy::Duration IdleTimeout = std::chrono::seconds(60);
  policy::Duration Spin{};
};

// Serves one peer connection: requests one at a time, and fences, probes and
// pings at any time, also while a request runs.
class PeerService {
public:
  PeerService(Sidecar &Owner, const PeerServiceOptions &Options)
      : Owner(Owner), Options(Options) {}

  // Serves the connection until it closes.
  void serve(Session &Accepted);

private:
  enum class Next : std::uint8_t { Continue, Close };

  [[nodiscard]] Next serveFrame(PeerConnection &Connection,
                                wire::PeerFrame &Frame);
  [[nodiscard]] Next serveRequest(PeerConnection &Connection,
                                  wire::PeerFrame &Frame);
  // Reads the rest of the request body. Returns nothing if the connection must
  // be closed. Sets LacksMemory if the body is too large for that reason.
  [[nodiscard]] std::optional<AssemblyStatus>
  readBody(PeerConnection &Connection, CallRequest &Request,
           wire::PeerFrame &Frame, bool &LacksMemory);
  // Counts bytes of a request body that arrived over the link.
  void countReceived(std::size_t Bytes);
  [[nodiscard]] CallResponse bodyRefusal(bool Readable, bool LacksMemory) const;
  // Returns false if the entry node disconnected or sent an invalid frame.
  [[nodiscard]] bool waitForCall(PeerConnection &Connection, SidecarCall &Call);
  [[nodiscard]] bool takeFramesDuringCall(PeerConnection &Connection,
                                          SidecarCall &Call);
  // Responds to a fence, probe or ping. Returns false for any other frame or if
  // the response cannot be sent.
  [[nodiscard]] bool answerControl(PeerConnection &Connection,
                                   const wire::PeerFrame &Frame);
  [[nodiscard]] Next sendResponse(PeerConnection &Connection,
                                  const policy::RequestId &Id,
                                  const CallResponse &Response);
  // Runs a request whose response has a large body.
  [[nodiscard]] Next serveBulkRequest(PeerConnection &Connection,
                                      CallRequest Request);
  // Sends a response in pieces, at the rate that the link allows.
  [[nodiscard]] Next sendInPieces(PeerConnection &Connection,
                                  const CallRequest &Request,
                                  const CallResponse &Response);
  // Waits until the next piece of a response may be sent, and responds to
  // frames meanwhile. Returns false if the connection must be closed.
  [[nodiscard]] bool awaitPiece(PeerConnection &Connection,
                                const policy::RequestId &Id, std::size_t Bytes,
                                policy::TimePoint Latest);
  // Responds to the frames that arrived while a response is being sent. Returns
  // false if the connection must be closed.
  [[nodiscard]] bool takeFramesDuringSend(PeerConnection &Connection,
                                          const policy::RequestId &Id);

  Sidecar &Owner;
  const PeerServiceOptions &Options;
};

} // namespace magnolia::daemon

#endif
