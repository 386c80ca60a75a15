#include "daemon/entry/caller_connection.h"

#include "daemon/entry/parse_call.h"
#include "daemon/entry/reject_unread.h"
#include "daemon/net/clock.h"
#include "daemon/net/socket.h"
#include "policy/linger/linger_limits.h"
#include "policy/pipeline/plan_pipeline.h"

#include <algorithm>

// The input of a connection, and its waits.

namespace magnolia::daemon {

namespace {

constexpr short ClosedEvents = POLLRDHUP | POLLHUP | POLLERR;

} // namespace

void CallerConnection::readInput() {
  State.Stopping = Service.Closing;
  while (policy::readsOn(State, Limits)) {
    const HttpReadStatus Status = Reader.read();
    if (Status == HttpReadStatus::Ready) {
      addRequest();
    } else if (Status != HttpReadStatus::NeedMore) {
      addRejection(Status);
    } else {
      sendContinue();
      if (!Readable || !receive()) {
        return;
      }
    }
  }
}

bool CallerConnection::receive() {
  const std::span<char> Space = Reader.prepare();
  const auto Count = receiveSome(Accepted.fd(), Space);
  Readable = Count > 0 && static_cast<std::size_t>(Count) == Space.size();
  const policy::TimePoint Now = now();
  if (Count > 0) {
    ReadAt = EmptyUntil;
    if (!Reader.hasBytes()) {
      Current = Service.currentOptions();
      Reader.limit(Current.Limits);
      HeadStart = Now;
    }
    Reader.commit(static_cast<std::size_t>(Count));
  }
  if (!Readable) {
    EmptyUntil = Now;
  }
  if (Count < 0) {
    State.CallerGone = true;
    cancelRunning();
  }
  return Count > 0;
}

void CallerConnection::addRequest() {
  PipelinedExchange &Added = Exchanges.emplace_back(*this);
  Added.Request = Reader.takeRequest();
  Reader.begin();
  Added.Request.Arrived = Added.Arrived = ReadAt;
  Added.Request.RemoteAddress = Remote;
  Added.Method = Added.Request.Method;
  const bool Closes = !Added.Request.KeepAlive;
  State.Requests.push_back(
      {.Idempotent = Limits.Requests > 1 && Service.MayOverlap(Added.Request),
       .Closes = Closes});
  State.InputEnded = Closes;
  ContinueSent = false;
}

void CallerConnection::addRejection(HttpReadStatus Status) {
  PipelinedExchange &Added = Exchanges.emplace_back(*this);
  Added.Response = rejectUnread(Service, Status, Current.Limits);
  Added.Rejected = Status;
  State.Requests.push_back({.Stage = policy::RequestStage::Done,
                            .Closes = true,
                            .ResponseBytes = bytesOf(Added.Response)});
  State.InputEnded = true;
}

void CallerConnection::sendContinue() {
  if (!State.Requests.empty() || ContinueSent || !Reader.expectsContinue()) {
    return;
  }
  ContinueSent = true;
  if (!sendAll(Accepted.fd(), "HTTP/1.1 100 Continue\r\n\r\n", {},
               now() + Service.Options.Read)) {
    close();
  }
}

void CallerConnection::wait() {
  // Input may have become known since it was last read.
  if (Readable && policy::readsOn(State, Limits)) {
    return;
  }
  const policy::TimePoint Now = now();
  if (State.Requests.empty()) {
    waitForInput(Now);
    return;
  }
  const short Events =
      static_cast<short>(wantedEvents() | (Writing ? POLLOUT : 0));
  pollfd Entry{
      .fd = Events == 0 ? -1 : Accepted.fd(), .events = Events, .revents = 0};
  const bool Ended = waitReady(
      {&Entry, 1}, Writing ? WriteBy : Now + LongestWait, {}, &WorkerEnded);
  if (!Ended && Writing) {
    endResponse();
    close();
    Accepted.setLinger(policy::CloseAtOnce);
    return;
  }
  onEvents(Entry.revents, now());
}

void CallerConnection::waitForInput(policy::TimePoint Now) {
  bool Arrived = false;
  if (!Reader.hasBytes()) {
    Current = Service.currentOptions();
    Arrived = Accepted.waitForRequest(Now + Current.Idle);
  } else {
    policy::TimePoint Latest = Now + Current.Read;
    if (Current.Head > policy::Duration{0} && !Reader.hasHead()) {
      Latest = std::min(Latest, HeadStart + Current.Head);
    }
    Arrived = waitReadable(Accepted.fd(), Latest);
  }
  if (!Arrived) {
    State.InputEnded = true;
    return;
  }
  Readable = true;
  EmptyUntil = now();
}

short CallerConnection::wantedEvents() const {
  if (State.CallerGone || State.Closed) {
    return 0;
  }
  // Input is waited for also at a limit, to know when it arrived.
  return static_cast<short>(POLLRDHUP |
                            (State.InputEnded || Readable ? 0 : POLLIN));
}

void CallerConnection::onEvents(short Seen, policy::TimePoint Now) {
  if ((Seen & ClosedEvents) != 0) {
    State.CallerGone = true;
    cancelRunning();
  } else if (!Readable) {
    EmptyUntil = Now;
    Readable = (Seen & POLLIN) != 0;
    if (Readable && Limits.Requests > 1 && !State.Stopping &&
        !policy::readsOn(State, Limits)) {
      Service.Counts.count(Counter::PipelinePauses);
    }
  }
}

void CallerConnection::serveDuringWait(short Seen, policy::TimePoint Now) {
  onEvents(Seen, Now);
  if (Readable) {
    readInput();
    startRequests();
  }
}

} // namespace magnolia::daemon
