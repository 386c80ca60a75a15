#ifndef DAEMON_SIDECAR_SIDECAR_CALL_H
#define DAEMON_SIDECAR_SIDECAR_CALL_H

#include "daemon/net/socket.h"
#include "daemon/peer/call.h"
#include "daemon/sidecar/sidecar.h"
#include "policy/usage/window_counts.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace magnolia::daemon {

// One request at the sidecar, from admission to the response of the backend
// server, without blocking. The entry node uses it directly if it chooses its
// local backend server.
class SidecarCall {
public:
  SidecarCall(Sidecar &Owner, CallRequest NewRequest);
  // Cancels the request if it is not done.
  ~SidecarCall();
  SidecarCall(const SidecarCall &) = delete;
  SidecarCall &operator=(const SidecarCall &) = delete;

  void start(policy::TimePoint Now);
  void advance(policy::TimePoint Now);
  // Ends the request immediately with an error of the given kind.
  void cancel(policy::ErrorKind Kind, policy::TimePoint Now);

  [[nodiscard]] bool done() const { return Step == Stage::Done; }
  // Descriptor and poll events that signal when advance has work to do.
  [[nodiscard]] int fd() const;
  [[nodiscard]] short events() const;
  [[nodiscard]] policy::TimePoint nextCheck() const;
  [[nodiscard]] const CallRequest &request() const { return Request; }
  // Valid once done returns true.
  [[nodiscard]] CallResponse &response() { return Result; }

private:
  enum class Stage : std::uint8_t { New, Waiting, Running, Done };

  // Asks for a slot, and runs the request, waits or ends.
  void askAdmission(policy::TimePoint Now);
  void run(policy::TimePoint Now);
  // Runs the request, which has waited for its slot, unless its key may have
  // been withdrawn meanwhile.
  void runAfterWait(policy::TimePoint Now);
  [[nodiscard]] bool connect(policy::TimePoint Now);
  // True if a refusal of an earlier attempt, or of another request without an
  // id, could not be told from one of this attempt.
  [[nodiscard]] bool needsNewConnection() const;
  // Start and continue sending the request to the backend server. What arrived
  // before a connection broke is still read.
  void send(policy::TimePoint Now);
  void sendMore();
  void readResponse(policy::TimePoint Now);
  // Handles the responses among the buffered bytes. Returns false if more bytes
  // are needed.
  [[nodiscard]] bool takeResponses(policy::TimePoint Now);
  // Returns false if the response belongs to an earlier request and the one to
  // this request is still expected.
  [[nodiscard]] bool handleResponse(policy::TimePoint Now);
  enum class Origin : std::uint8_t { ThisRequest, OtherRequest, Unknown };
  // Returns whose response it is, by the request ids that it echoes. The first
  // response on a connection needs none.
  [[nodiscard]] Origin originOf(const HttpResponse &Response) const;
  // Returns the error kind if the backend server states in the response that it
  // did not run the request.
  [[nodiscard]] std::optional<policy::ErrorKind>
  refusalIn(const HttpResponse &Response) const;
  // True if the status would tell the caller that the request did not run,
  // which the backend server did not state.
  [[nodiscard]] bool promisesFalsely(const HttpResponse &Response) const;
  void handleBrokenResponse(policy::TimePoint Now, std::string Reason);
  void handleOversizedResponse(policy::TimePoint Now, std::string Reason);
  void refuseUnsent(policy::ErrorKind Kind, std::string Detail,
                    policy::TimePoint Now);
  // Ends the request with the reason why it was not sent. If it was sent
  // before, it may have run, and the reason is only a detail.
  void finishUnsent(policy::ErrorKind Kind, std::string Detail);
  void finish(CallResponse Ended);
  [[nodiscard]] bool wasSent() const { return Sent != policy::TimePoint{}; }
  void logRefusal(policy::ErrorKind Kind) const;
  [[nodiscard]] HttpRequest backendRequest(policy::TimePoint Now);
  // Count the run for the usage report, and take the count back if the backend
  // server did not run the request.
  void countRun();
  void uncountRun();

  Sidecar &Owner;
  CallRequest Request;
  Stage Step = Stage::New;
  std::shared_ptr<SlotWait> Wait;
  // The organisation at the time when the wait began; null if it was not known
  // here, or for a nested call.
  std::shared_ptr<const settings::OrganisationRecord> Waiting;
  std::unique_ptr<BackendConnection> Connection;
  // Request id sent to the backend server, which echoes it in its response.
  std::string SentId;
  // Head of the request, and the unsent parts of head and body.
  std::string Head;
  std::string_view HeadLeft;
  std::string_view BodyLeft;
  SendStatus Sending = SendStatus::Open;
  bool ReceivedBytes = false;
  // Responses to other requests that were skipped.
  int ExtraResponses = 0;
  // Set while the request is listed among the running requests.
  std::optional<RunningRequests::Handle> Listed;
  // Window in which the run is counted; empty if none was known.
  std::optional<policy::UsageWindow> RunWindow;
  policy::TimePoint Arrived{};
  policy::TimePoint Sent{};
  CallResponse Result;
};

} // namespace magnolia::daemon

#endif
