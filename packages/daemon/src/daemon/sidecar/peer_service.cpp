#include "daemon/sidecar/peer_service.h"

#include "daemon/link/link_pacer.h"
#include "daemon/link/link_transfer.h"
#include "daemon/net/adaptive_spin.h"
#include "daemon/net/clock.h"
#include "daemon/net/socket.h"
#include "daemon/sidecar/sidecar_call.h"
#include "wire/convert/convert.h"
#include "wire/peer.pb.h"

#include <array>
#include <utility>

namespace magnolia::daemon {

using policy::ErrorKind;

namespace {

// Returns true if the response is large. A request with large bodies that may
// run once only is an upload, whose response is small.
bool hasLargeResponse(const CallRequest &Request) {
  return Request.Bulk && Request.Idempotent;
}

// Size of the pieces in which a large body is sent. A short message waits
// behind at most one piece of each body.
constexpr std::size_t PieceBytes = 16'384;

} // namespace

void PeerService::serve(Session &Accepted) {
  PeerConnection Connection(Accepted.fd());
  if (!handshakeAsServer(Connection, Options.Own,
                         now() + Options.HandshakeTimeout)) {
    Owner.metrics().count(Counter::HandshakesRefused);
    return;
  }
  wire::PeerFrame Frame;
  for (;;) {
    if (!Connection.hasBytes() &&
        !Accepted.waitForRequest(now() + Options.IdleTimeout)) {
      return;
    }
    switch (Connection.await(Frame, now() + Options.IdleTimeout)) {
    case ReceiveStatus::Nothing:
      return;
    case ReceiveStatus::Broken:
      if (Connection.hasBytes()) {
        Owner.metrics().count(Counter::BrokenFrames);
      }
      return;
    case ReceiveStatus::Frame:
      if (serveFrame(Connection, Frame) == Next::Close) {
        return;
      }
    }
  }
}

PeerService::Next PeerService::serveFrame(PeerConnection &Connection,
                                          wire::PeerFrame &Frame) {
  if (Frame.has_cancel()) {
    // The response was sent before the cancellation arrived.
    return Next::Continue;
  }
  if (Frame.has_request()) {
    return serveRequest(Connection, Frame);
  }
  return answerControl(Connection, Frame) ? Next::Continue : Next::Close;
}

bool PeerService::answerControl(PeerConnection &Connection,
                                const wire::PeerFrame &Frame) {
  wire::PeerFrame Response;
  if (Frame.has_fence()) {
    wire::PeerFenceResult &Result = *Response.mutable_fence_result();
    *Result.mutable_id() = Frame.fence().id();
    Result.set_never_run(
        Owner.fence(wire::fromWire(Frame.fence().id()), now()));
    wire::toWire(Owner.load(), *Result.mutable_load());
  } else if (Frame.has_probe()) {
    wire::PeerProbeResult &Result = *Response.mutable_probe_result();
    Result.set_sequence(Frame.probe().sequence());
    wire::toWire(Owner.load(), *Result.mutable_load());
  } else if (Frame.has_ping()) {
    Response.mutable_pong()->set_sequence(Frame.ping().sequence());
  } else {
    Owner.metrics().count(Counter::BrokenFrames);
    return false;
  }
  return Connection.send(Response, now() + Options.ReadTimeout);
}

PeerService::Next PeerService::sendResponse(PeerConnection &Connection,
                                            const policy::RequestId &Id,
                                            const CallResponse &Response) {
  return queueResponse(Connection, Id, Response) &&
                 Connection.flush(now() + Options.ReadTimeout)
             ? Next::Continue
             : Next::Close;
}

PeerService::Next PeerService::serveRequest(PeerConnection &Connection,
                                            wire::PeerFrame &Frame) {
  CallRequest Request;
  const bool Readable = readRequest(Frame, Request, now());
  const policy::RequestId Id = Request.Id;
  bool LacksMemory = false;
  const auto Body = readBody(Connection, Request, Frame, LacksMemory);
  if (!Body) {
    return Next::Close;
  }
  if (!Readable || *Body == AssemblyStatus::TooLargeDone) {
    CallResponse Refusal = bodyRefusal(Readable, LacksMemory);
    Refusal.Load = Owner.load();
    return sendResponse(Connection, Id, Refusal);
  }
  if (hasLargeResponse(Request) && Options.Link && Options.Link->isLimited()) {
    return serveBulkRequest(Connection, std::move(Request));
  }
  SidecarCall Call(Owner, std::move(Request));
  Call.start(now());
  if (!waitForCall(Connection, Call)) {
    return Next::Close;
  }
  return sendResponse(Connection, Id, Call.response());
}

PeerService::Next PeerService::serveBulkRequest(PeerConnection &Connection,
                                                CallRequest Request) {
  const policy::RequestId Id = Request.Id;
  LinkTransfer Transfer(*Options.Link, Request, now());
  if (!Transfer.accepted()) {
    Owner.metrics().count(Counter::LinkRejections);
    CallResponse Refusal = callErrorResponse(ErrorKind::SlowInstance,
                                             "the link of the node is busy");
    Refusal.Load = Owner.load();
    return sendResponse(Connection, Id, Refusal);
  }
  SidecarCall Call(Owner, std::move(Request));
  Call.start(now());
  if (!waitForCall(Connection, Call)) {
    return Next::Close;
  }
  Transfer.setBodyBytes(Call.response().Body.size());
  return Call.response().Body.size() > PieceBytes
             ? sendInPieces(Connection, Call.request(), Call.response())
             : sendResponse(Connection, Id, Call.response());
}

PeerService::Next PeerService::sendInPieces(PeerConnection &Connection,
                                            const CallRequest &Request,
                                            const CallResponse &Response) {
  // A response whose sending has begun is completed also after the deadline.
  const policy::TimePoint Latest = Request.Deadline + Options.ReadTimeout;
  if (!awaitPiece(Connection, Request.Id, PieceBytes, Latest) ||
      !queueResponse(Connection, Request.Id, Response, PieceBytes) ||
      !Connection.flush(now() + Options.ReadTimeout)) {
    return Next::Close;
  }
  std::string_view Rest = std::string_view(Response.Body).substr(PieceBytes);
  while (!Rest.empty()) {
    const std::string_view Piece = Rest.substr(0, PieceBytes);
    Rest.remove_prefix(Piece.size());
    if (!awaitPiece(Connection, Request.Id, Piece.size(), Latest) ||
        !queueBodyChunk(Connection, Request.Id, Piece, Rest.empty()) ||
        !Connection.flush(now() + Options.ReadTimeout)) {
      return Next::Close;
    }
  }
  return Next::Continue;
}

bool PeerService::awaitPiece(PeerConnection &Connection,
                             const policy::RequestId &Id, std::size_t Bytes,
                             policy::TimePoint Latest) {
  const auto Start = Options.Link->reserve(Bytes, now(), Latest);
  if (!Start) {
    return false;
  }
  for (;;) {
    if (!takeFramesDuringSend(Connection, Id)) {
      return false;
    }
    if (now() >= *Start) {
      return true;
    }
    (void)waitReadable(Connection.fd(), *Start);
  }
}

bool PeerService::takeFramesDuringSend(PeerConnection &Connection,
                                       const policy::RequestId &Id) {
  wire::PeerFrame Frame;
  for (;;) {
    switch (Connection.receive(Frame)) {
    case ReceiveStatus::Nothing:
      return true;
    case ReceiveStatus::Broken:
      return false;
    case ReceiveStatus::Frame:
      break;
    }
    const bool IsCancel = Frame.has_cancel();
    if (IsCancel ? wire::fromWire(Frame.cancel().id()) == Id
                 : !answerControl(Connection, Frame)) {
      // The rest of a cancelled body is not sent, so the connection cannot
      // carry another response.
      return false;
    }
  }
}

CallResponse PeerService::bodyRefusal(bool Readable, bool LacksMemory) const {
  if (!Readable) {
    return callErrorResponse(ErrorKind::BadRequest,
                             "the request from the entry node is malformed");
  }
  if (LacksMemory) {
    return callErrorResponse(ErrorKind::Overloaded,
                             "the sidecar has no memory for the body");
  }
  return callErrorResponse(ErrorKind::BodyTooLarge,
                           "the body is over " +
                               std::to_string(Options.BodyBytes) + " bytes");
}

std::optional<AssemblyStatus> PeerService::readBody(PeerConnection &Connection,
                                                    CallRequest &Request,
                                                    wire::PeerFrame &Frame,
                                                    bool &LacksMemory) {
  countReceived(Frame.request().body().size());
  BodyAssembly Assembly(Options.BodyBytes, Request.Id, Options.Memory);
  AssemblyStatus Status = Assembly.addChunk(
      Request.Body, Frame.request().body(), !Frame.request().body_continues());
  while (Status == AssemblyStatus::More ||
         Status == AssemblyStatus::TooLargeMore) {
    if (Connection.await(Frame, now() + Options.ReadTimeout) !=
        ReceiveStatus::Frame) {
      return std::nullopt;
    }
    if (Frame.has_ping()) {
      if (!answerControl(Connection, Frame)) {
        return std::nullopt;
      }
      continue;
    }
    if (!Frame.has_body()) {
      Owner.metrics().count(Counter::BrokenFrames);
      return std::nullopt;
    }
    countReceived(Frame.body().data().size());
    Status = Assembly.add(Request.Body, *Frame.mutable_body());
  }
  Request.Share = Assembly.share();
  LacksMemory = Assembly.lacksMemory();
  return Status == AssemblyStatus::Broken ? std::nullopt
                                          : std::optional(Status);
}

void PeerService::countReceived(std::size_t Bytes) {
  if (Options.Link && Bytes > 0) {
    Options.Link->countReceived(Bytes, now());
  }
}

bool PeerService::waitForCall(PeerConnection &Connection, SidecarCall &Call) {
  // Handles frames that arrived together with the request.
  if (Connection.hasBytes() && !Call.done() &&
      !takeFramesDuringCall(Connection, Call)) {
    return false;
  }
  while (!Call.done()) {
    std::array<pollfd, 2> Fds = {
        {{.fd = Call.fd(), .events = Call.events(), .revents = 0},
         {.fd = Connection.fd(), .events = POLLIN, .revents = 0}}};
    thread_local AdaptiveSpin Spinner;
    const policy::TimePoint Start = now();
    (void)waitReady(Fds, Call.nextCheck(), Spinner.spin(Options.Spin));
    Spinner.record(now() - Start);
    Call.advance(now());
    if (Fds[1].revents != 0 && !Call.done() &&
        !takeFramesDuringCall(Connection, Call)) {
      return false;
    }
  }
  return true;
}

bool PeerService::takeFramesDuringCall(PeerConnection &Connection,
                                       SidecarCall &Call) {
  wire::PeerFrame Frame;
  for (;;) {
    switch (Connection.receive(Frame)) {
    case ReceiveStatus::Nothing:
      return true;
    case ReceiveStatus::Broken:
      // The entry node disconnected and no longer waits for the response.
      return false;
    case ReceiveStatus::Frame:
      break;
    }
    if (Frame.has_cancel()) {
      if (wire::fromWire(Frame.cancel().id()) == Call.request().Id) {
        Call.cancel(ErrorKind::Cancelled, now());
        return true;
      }
    } else if (!answerControl(Connection, Frame)) {
      return false;
    }
  }
}

} // namespace magnolia::daemon
