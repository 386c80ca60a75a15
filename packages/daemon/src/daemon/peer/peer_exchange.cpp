#include "daemon/peer/peer_exchange.h"

#include "daemon/net/clock.h"
#include "wire/convert/convert.h"
#include "wire/peer.pb.h"

#include <algorithm>

namespace magnolia::daemon {

PeerExchange::PeerExchange(std::unique_ptr<PeerConnection> Taken,
                           ExchangeOptions Options)
    : Connection(std::move(Taken)), Options(Options) {}

bool PeerExchange::start(const CallRequest &Request, policy::TimePoint Now,
                         bool CheckAtOnce) {
  Id = Request.Id;
  Assembly = BodyAssembly(Options.AnswerBytes, Id);
  if (!queueRequest(*Connection, Request, Now)) {
    return false;
  }
  if (CheckAtOnce) {
    wire::PeerFrame Frame;
    Frame.mutable_ping()->set_sequence(++PingSequence);
    (void)Connection->queue(Frame);
  }
  const bool Sent = Connection->flush(Request.Deadline);
  const policy::TimePoint End = now();
  NextPing = End + Options.PingAfter;
  if (CheckAtOnce) {
    PingSent = End;
    // The request may be sent whole though its check is not; advance finds
    // out.
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
  // Any bytes show that the connection lives, also those of a part of a frame.
  if (PingSent && Connection->LastHeard >= *PingSent) {
    PingSent.reset();
    SilenceTold = false;
  }
  NextPing = std::max(NextPing, Connection->LastHeard + Options.PingAfter);
  if (PingSent && Now >= *PingSent + Options.LostAfter) {
    return ExchangeStatus::Lost;
  }
  if (PingSent && !SilenceTold && Now >= *PingSent + Options.PingTimeout) {
    SilenceTold = true;
    return ExchangeStatus::Silent;
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
  return *PingSent + (SilenceTold ? Options.LostAfter : Options.PingTimeout);
}

void PeerExchange::cancel(policy::TimePoint Now) {
  wire::PeerFrame Frame;
  wire::toWire(Id, *Frame.mutable_cancel()->mutable_id());
  // The outcome does not matter: a broken connection cancels as well.
  (void)Connection->send(Frame, Now + Options.PingTimeout);
}

ExchangeStatus PeerExchange::takeFrame(wire::PeerFrame &Frame) {
  if (Frame.has_pong()) {
    return ExchangeStatus::Pending;
  }
  if (Frame.has_body() && HeadSeen) {
    return bodyStatus(Assembly.add(Answer.Body, *Frame.mutable_body()));
  }
  if (!Frame.has_answer() || HeadSeen ||
      wire::fromWire(Frame.answer().id()) != Id || !readAnswer(Frame, Answer)) {
    return ExchangeStatus::Lost;
  }
  HeadSeen = true;
  return bodyStatus(Assembly.addPiece(Answer.Body, Frame.answer().body(),
                                      !Frame.answer().body_continues()));
}

ExchangeStatus PeerExchange::bodyStatus(AssemblyStatus Status) {
  switch (Status) {
  case AssemblyStatus::More:
  case AssemblyStatus::TooLargeMore:
    return ExchangeStatus::Pending;
  case AssemblyStatus::Done:
    return ExchangeStatus::Done;
  case AssemblyStatus::TooLargeDone: {
    const policy::LoadReport Load = Answer.Load;
    Answer = errorAnswer(policy::ErrorKind::AnswerTooLarge,
                         "the answer body is over " +
                             std::to_string(Options.AnswerBytes) + " bytes");
    Answer.Load = Load;
    return ExchangeStatus::Done;
  }
  case AssemblyStatus::Broken:
    return ExchangeStatus::Lost;
  }
  return ExchangeStatus::Lost;
}

} // namespace magnolia::daemon
