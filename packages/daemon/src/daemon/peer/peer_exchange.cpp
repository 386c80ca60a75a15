#include "daemon/peer/peer_exchange.h"

#include "daemon/net/clock.h"
#include "wire/convert/convert.h"
#include "wire/peer.pb.h"

#include <algorithm>

namespace magnolia::daemon {

PeerExchange::PeerExchange(std::unique_ptr<PeerConnection> NewConnection,
                           ExchangeOptions Options)
    : Connection(std::move(NewConnection)), Options(Options) {}

bool PeerExchange::start(const CallRequest &Request, policy::TimePoint Now,
                         bool PingAtOnce) {
  Id = Request.Id;
  Assembly = BodyAssembly(Options.ResponseBytes, Id, Options.Memory);
  if (!queueRequest(*Connection, Request, Now)) {
    return false;
  }
  if (PingAtOnce) {
    wire::PeerFrame Frame;
    Frame.mutable_ping()->set_sequence(++PingSequence);
    (void)Connection->queue(Frame);
  }
  const bool Sent = Connection->flush(Request.Deadline);
  const policy::TimePoint End = now();
  NextPing = End + Options.PingAfter;
  if (PingAtOnce) {
    PingSent = End;
    // The request may have been sent completely even if the ping was not;
    // advance detects a failure.
    return true;
  }
  return Sent;
}

bool PeerExchange::ping(policy::TimePoint Now) {
  wire::PeerFrame Frame;
  Frame.mutable_ping()->set_sequence(++PingSequence);
  PingSent = Now;
  return Connection->send(Frame, Now + Options.PingTimeout);
}

ExchangeStatus PeerExchange::advance(policy::TimePoint Now) {
  wire::PeerFrame Frame;
  for (;;) {
    const ReceiveStatus Received = Connection->receive(Frame);
    if (Received == ReceiveStatus::Broken) {
      return ExchangeStatus::Lost;
    }
    if (Received == ReceiveStatus::Nothing) {
      break;
    }
    const ExchangeStatus Status = takeFrame(Frame);
    if (Status != ExchangeStatus::Pending) {
      return Status;
    }
  }
  // Any received bytes, even of a partial frame, show that the connection
  // works.
  if (PingSent && Connection->LastReceived >= *PingSent) {
    PingSent.reset();
    SilenceReported = false;
  }
  NextPing = std::max(NextPing, Connection->LastReceived + Options.PingAfter);
  if (PingSent && Now >= *PingSent + Options.LostAfter) {
    return ExchangeStatus::Lost;
  }
  if (PingSent && !SilenceReported && Now >= *PingSent + Options.PingTimeout) {
    SilenceReported = true;
    return ExchangeStatus::Unresponsive;
  }
  if (PingSent) {
    return ExchangeStatus::Pending;
  }
  if (Now >= NextPing && !ping(Now)) {
    return ExchangeStatus::Lost;
  }
  return ExchangeStatus::Pending;
}

policy::TimePoint PeerExchange::nextCheck() const {
  if (!PingSent) {
    return NextPing;
  }
  return *PingSent +
         (SilenceReported ? Options.LostAfter : Options.PingTimeout);
}

void PeerExchange::cancel(policy::TimePoint Now) {
  wire::PeerFrame Frame;
  wire::toWire(Id, *Frame.mutable_cancel()->mutable_id());
  // The result is ignored, because a broken connection cancels as well.
  (void)Connection->send(Frame, Now + Options.PingTimeout);
}

ExchangeStatus PeerExchange::takeFrame(wire::PeerFrame &Frame) {
  if (Frame.has_pong()) {
    return ExchangeStatus::Pending;
  }
  if (Frame.has_body() && HeadReceived) {
    return bodyStatus(Assembly.add(Response.Body, *Frame.mutable_body()));
  }
  if (!Frame.has_answer() || HeadReceived ||
      wire::fromWire(Frame.answer().id()) != Id ||
      !readResponse(Frame, Response)) {
    return ExchangeStatus::Lost;
  }
  HeadReceived = true;
  return bodyStatus(Assembly.addChunk(Response.Body, Frame.answer().body(),
                                      !Frame.answer().body_continues()));
}

ExchangeStatus PeerExchange::bodyStatus(AssemblyStatus Status) {
  switch (Status) {
  case AssemblyStatus::More:
  case AssemblyStatus::TooLargeMore:
    return ExchangeStatus::Pending;
  case AssemblyStatus::Done:
    Response.Share = Assembly.share();
    return ExchangeStatus::Done;
  case AssemblyStatus::TooLargeDone: {
    const policy::LoadReport Load = Response.Load;
    Response = callErrorResponse(
        policy::ErrorKind::AnswerTooLarge,
        Assembly.lacksMemory()
            ? std::string("the entry node has no memory for the answer body")
            : "the answer body is over " +
                  std::to_string(Options.ResponseBytes) + " bytes");
    Response.Load = Load;
    return ExchangeStatus::Done;
  }
  case AssemblyStatus::Broken:
    return ExchangeStatus::Lost;
  }
  return ExchangeStatus::Lost;
}

} // namespace magnolia::daemon
