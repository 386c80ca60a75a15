#include "daemon/entry/caller_connection.h"

#include "daemon/entry/parse_call.h"
#include "daemon/entry/reject_unread.h"
#include "daemon/log/log.h"
#include "daemon/memory/release_buffer.h"
#include "daemon/net/clock.h"
#include "daemon/net/fiber_loop.h"
#include "daemon/net/socket.h"
#include "policy/pipeline/plan_pipeline.h"

#include <algorithm>
#include <chrono>
#include <exception>
#include <iterator>
#include <utility>
#include <vector>

namespace magnolia::daemon {

namespace {

// Time that a request may run without a wait that watches the connection before
// its later input counts as having arrived unnoticed.
constexpr policy::Duration UnwatchedMaximum = std::chrono::milliseconds(1);

} // namespace

CallerConnection::CallerConnection(HttpServiceState &Service, Session &Accepted)
    : Service(Service), Accepted(Accepted),
      Remote(remoteAddress(Accepted.fd())), Limits(Service.Options.Pipeline),
      Current(Service.currentOptions()),
      Reader(HttpReader::Kind::Request, Current.Limits, Service.Options.Memory),
      EmptyUntil(now()) {
  Accepted.setLinger({.Longest = Current.Read});
  if (!Service.MayOverlap || !FiberLoop::current()) {
    Limits.Requests = 1;
  }
}

void CallerConnection::serve() {
  std::exception_ptr Failure;
  try {
    serveRequests();
  } catch (...) {
    Failure = std::current_exception();
  }
  // A fiber must not be suspended inside of the handler.
  close();
  awaitWorkers();
  if (Failure) {
    std::rethrow_exception(Failure);
  }
}

void CallerConnection::serveRequests() {
  while (!policy::isOver(State)) {
    readInput();
    startRequests();
    if (std::exchange(RunsFirst, false)) {
      run(Exchanges.front());
    }
    if (!writeFirst() && !policy::isOver(State)) {
      wait();
    }
  }
}

void CallerConnection::awaitWorkers() {
  while (Workers > 0) {
    (void)waitReady({}, now() + LongestWait, {}, &WorkerEnded);
  }
}

void CallerConnection::startRequests() {
  while (const auto Next = policy::nextToStart(State, Limits)) {
    if (*Next == 0) {
      RunsFirst = true;
    } else if (!startWorker(*std::next(Exchanges.begin(),
                                       static_cast<std::ptrdiff_t>(*Next)))) {
      return;
    }
    State.Requests[*Next].Stage = policy::RequestStage::Running;
  }
}

bool CallerConnection::startWorker(PipelinedExchange &Given) {
  if (++Service.Fibers > Service.Options.PipelineFibers) {
    --Service.Fibers;
    return false;
  }
  Given.OnOwnFiber = true;
  ++Workers;
  Service.Counts.count(Counter::PipelinedRequests);
  FiberLoop::current()->spawn([this, &Given] { runWorker(Given); });
  return true;
}

void CallerConnection::runWorker(PipelinedExchange &Given) {
  bool Failed = false;
  try {
    if (!Given.isGone()) {
      run(Given);
    } else {
      // A caller that only stopped sending still reads its responses.
      Given.Response =
          errorResponse(Service.Speaks, policy::ErrorKind::Cancelled,
                        "the caller closed the connection", false);
    }
  } catch (const std::exception &Reason) {
    log(LogLevel::Error, "request ended by an exception",
        {{"reason", std::string_view(Reason.what())}});
    Failed = true;
  }
  State.Requests[indexOf(Given)].Stage = policy::RequestStage::Done;
  if (Failed) {
    close();
  }
  --Workers;
  --Service.Fibers;
  WorkerEnded.raise();
}

void CallerConnection::run(PipelinedExchange &Given) {
  Given.Response = Service.Handle(std::move(Given.Request), Given);
  policy::PipelinedRequest &Ended = State.Requests[indexOf(Given)];
  Ended.Stage = policy::RequestStage::Done;
  Ended.Closes = Ended.Closes || !Given.Response.KeepAlive;
  Ended.ResponseBytes = bytesOf(Given.Response);
  countHeldBytes();
}

bool CallerConnection::writeFirst() {
  if (!policy::mayWrite(State)) {
    return false;
  }
  if (!Writing) {
    beginResponse();
  }
  const bool Sent =
      sendSome(Accepted.fd(), HeadLeft, BodyLeft) == SendStatus::Open;
  if (Sent && !(HeadLeft.empty() && BodyLeft.empty())) {
    return false;
  }
  endResponse();
  if (!Sent) {
    close();
  }
  return true;
}

void CallerConnection::beginResponse() {
  PipelinedExchange &First = Exchanges.front();
  State.Stopping = Service.Closing;
  State.Requests.front().Closes = policy::closesWithFirst(State);
  First.Response.KeepAlive = !State.Requests.front().Closes;
  Head = responseHead(First.Response, First.Method);
  HeadLeft = Head;
  BodyLeft = hasBody(First.Response.Status, First.Method)
                 ? std::string_view(First.Response.Body)
                 : std::string_view();
  const policy::TimePoint Now = now();
  WriteBy = Now + Service.Options.Read;
  Writing = true;
  // After the response, input is the next request of a caller that waited.
  if (!Readable && Now - EmptyUntil > UnwatchedMaximum) {
    Readable = hasInput(Accepted.fd());
    EmptyUntil = Readable ? EmptyUntil : Now;
  }
}

void CallerConnection::endResponse() {
  const PipelinedExchange &First = Exchanges.front();
  const std::optional<HttpReadStatus> Rejected = First.Rejected;
  // The time for the rest of a request counts once nothing is in front of it.
  HeadStart = now();
  Accepted.onOutput(HeadStart);
  if (!Rejected) {
    Service.Counts.time(Timing::Request, HeadStart - First.Arrived);
  }
  Writing = false;
  releaseBuffer(Head);
  policy::onAnswered(State);
  Exchanges.pop_front();
  if (State.Requests.empty() && State.Requests.capacity() > 1) {
    State.Requests = std::vector<policy::PipelinedRequest>();
  }
  cancelRunning();
  countHeldBytes();
  if (State.Closed) {
    Accepted.setLinger(Rejected ? closeLimits(Current, *Rejected)
                                : closeLimits(Current));
  }
}

void CallerConnection::close() {
  State.Closed = true;
  cancelRunning();
}

void CallerConnection::cancelRunning() {
  std::size_t Index = 0;
  for (PipelinedExchange &Next : Exchanges) {
    if (policy::isCancelled(State, Index++)) {
      Next.cancel();
    }
  }
}

void CallerConnection::countHeldBytes() {
  if (Service.Options.Memory == nullptr ||
      (State.Requests.size() < 2 && !Held)) {
    return;
  }
  std::size_t Sum = 0;
  std::size_t Index = 0;
  for (const PipelinedExchange &Next : Exchanges) {
    const bool IsHeld = Index > 0 && !Next.Response.Share;
    Sum += IsHeld ? State.Requests[Index].ResponseBytes : 0;
    ++Index;
  }
  if (Sum == 0) {
    Held.reset();
    State.MemoryShort = false;
    return;
  }
  if (!Held) {
    Held.emplace(*Service.Options.Memory);
  }
  State.MemoryShort = !Held->resize(Sum);
}

std::size_t CallerConnection::indexOf(const PipelinedExchange &Given) const {
  const auto Found = std::find_if(
      Exchanges.begin(), Exchanges.end(),
      [&](const PipelinedExchange &Next) { return &Next == &Given; });
  return static_cast<std::size_t>(std::distance(Exchanges.begin(), Found));
}

} // namespace magnolia::daemon
