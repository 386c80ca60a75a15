#include "policy/admission/admit.h"

#include "policy/admission/internal/ramp.h"

#include <algorithm>

namespace magnolia::policy {

namespace {

ErrorKind fullKind(const AdmissionState &State) {
  return State.Ramp < internal::warmLimit(State) ? ErrorKind::ColdStart
                                                 : ErrorKind::Overloaded;
}

AdmissionDecision refuse(AdmissionState &State, ErrorKind Kind) {
  ++State.Refused;
  return {.Action = AdmissionAction::Refuse, .Kind = Kind};
}

void take(AdmissionState &State, TimePoint Now) {
  internal::countWork(State, Now);
  ++State.InFlight;
  ++State.Admitted;
  State.MaxInFlight = std::max(State.MaxInFlight, State.InFlight);
  State.StepFull |= State.InFlight >= limit(State);
}

// Time until a request at the end of the queue gets a slot.
Duration expectedWait(const AdmissionState &State) {
  return State.Latency * (State.Waiting.size() + 1) / limit(State);
}

bool isOver(const AdmissionState &State, const Waiter &Next, TimePoint Now) {
  return Now >= Next.Deadline || Now - Next.Since >= State.Options.MaxWait;
}

} // namespace

AdmissionDecision admit(AdmissionState &State, const AdmissionQuery &Query,
                        TimePoint Now) {
  if (State.Draining) {
    return refuse(State, ErrorKind::Draining);
  }
  if (Now >= Query.Deadline) {
    return refuse(State, ErrorKind::DeadlineExceededNotRun);
  }
  if (State.InFlight < limit(State) && State.Waiting.empty()) {
    take(State, Now);
    return {.Action = AdmissionAction::Run};
  }
  State.StepFull = true;
  const Duration Wait = expectedWait(State);
  if (State.Waiting.size() >= State.Options.MaxWaiting ||
      Wait > State.Options.MaxWait || Now + Wait >= Query.Deadline) {
    return refuse(State, fullKind(State));
  }
  ++State.Queued;
  State.Waiting.push_back(
      {.Id = ++State.LastTicket, .Since = Now, .Deadline = Query.Deadline});
  return {.Action = AdmissionAction::Wait, .Id = State.LastTicket};
}

std::vector<Ticket> complete(AdmissionState &State, const Completion &Ended,
                             TimePoint Now) {
  internal::countWork(State, Now);
  State.InFlight -= State.InFlight > 0 ? 1 : 0;
  if (!Ended.NotSent) {
    internal::learn(State, Ended, Now);
  }
  std::vector<Ticket> Ready;
  // Requests that wait for too long stay for expire, which rejects them.
  for (auto Next = State.Waiting.begin();
       Next != State.Waiting.end() && State.InFlight < limit(State);) {
    if (isOver(State, *Next, Now)) {
      ++Next;
      continue;
    }
    Ready.push_back(Next->Id);
    take(State, Now);
    Next = State.Waiting.erase(Next);
  }
  return Ready;
}

std::vector<Expiry> expire(AdmissionState &State, TimePoint Now) {
  std::vector<Expiry> Ended;
  std::erase_if(State.Waiting, [&](const Waiter &Next) {
    if (!isOver(State, Next, Now)) {
      return false;
    }
    Ended.push_back({.Id = Next.Id,
                     .Kind = Now >= Next.Deadline
                                 ? ErrorKind::DeadlineExceededNotRun
                                 : fullKind(State)});
    return true;
  });
  State.Expired += Ended.size();
  return Ended;
}

TimePoint nextExpiry(const AdmissionState &State) {
  TimePoint First = TimePoint::max();
  for (const Waiter &Next : State.Waiting) {
    First =
        std::min({First, Next.Deadline, Next.Since + State.Options.MaxWait});
  }
  return First;
}

bool abandon(AdmissionState &State, Ticket Id) {
  return std::erase_if(State.Waiting,
                       [Id](const Waiter &Next) { return Next.Id == Id; }) > 0;
}

void onBackendIncarnation(AdmissionState &State, Incarnation Run,
                          TimePoint Now) {
  if (Run == 0 || Run == State.Backend) {
    return;
  }
  State.Backend = Run;
  internal::resetRamp(State, Now);
}

void onConnectFailure(AdmissionState &State, TimePoint Now) {
  internal::resetRamp(State, Now);
}

void drain(AdmissionState &State) { State.Draining = true; }

std::uint32_t limit(const AdmissionState &State) {
  std::uint32_t Limit = std::min(internal::warmLimit(State), State.Ramp);
  if (State.Adaptive > 0) {
    Limit = std::min(Limit, static_cast<std::uint32_t>(State.Adaptive));
  }
  return std::max(1U, Limit);
}

LoadReport loadReport(const AdmissionState &State) {
  return {.InFlight = State.InFlight,
          .Limit = limit(State),
          .Waiting = static_cast<std::uint32_t>(State.Waiting.size()),
          .Latency = State.Latency,
          .Run = State.Backend,
          .Draining = State.Draining,
          .ColdStart = State.Ramp < internal::warmLimit(State)};
}

} // namespace magnolia::policy
