#include "policy/admission/admit.h"

#include "policy/admission/internal/ramp.h"

#include <algorithm>

namespace magnolia::policy {

namespace {

ErrorKind fullKind(const AdmissionState &State) {
  return internal::isRamping(State) ? ErrorKind::ColdStart
                                    : ErrorKind::Overloaded;
}

AdmissionDecision refuse(AdmissionState &State, ErrorKind Kind) {
  ++State.Refused;
  return {.Action = AdmissionAction::Refuse, .Kind = Kind};
}

void take(AdmissionState &State, bool Repeat, TimePoint Now) {
  internal::countWork(State, Now);
  recordArrival(State.Arrivals, Repeat, Now);
  ++State.InFlight;
  ++State.Admitted;
  State.MaxInFlight = std::max(State.MaxInFlight, State.InFlight);
  State.StepFull |= State.InFlight >= limit(State);
}

// Waiting requests that go before a new one of this priority.
std::size_t waitingBefore(const AdmissionState &State, std::uint32_t Priority) {
  return static_cast<std::size_t>(std::count_if(
      State.Waiting.begin(), State.Waiting.end(),
      [Priority](const Waiter &Next) { return Next.Priority <= Priority; }));
}

// Percentage of the usual time that work takes now, as far as it is known.
std::uint32_t workTimeNow(const AdmissionState &State, TimePoint Now) {
  constexpr std::uint32_t Usual = 100;
  const bool Fresh = State.WorkTimePercent != 0 &&
                     Now - State.WorkTimeAt <= State.Options.WorkTimeFresh;
  return Fresh ? State.WorkTimePercent : Usual;
}

// Time until a request of this priority gets a slot.
Duration expectedWait(const AdmissionState &State, std::uint32_t Priority,
                      TimePoint Now) {
  constexpr std::uint32_t Usual = 100;
  const Duration PerSlot =
      State.Latency * workTimeNow(State, Now) / (Usual * limit(State));
  return PerSlot * (waitingBefore(State, Priority) + 1);
}

// A request with an objective waits for a part of the time that is left, since
// it has to run after the wait. One without waits for a fixed time.
Duration longestWait(const AdmissionState &State, const AdmissionQuery &Query,
                     TimePoint Now) {
  if (Query.Objective == TimePoint{}) {
    return State.Options.MaxWait;
  }
  const auto Left = static_cast<double>((Query.Objective - Now).count());
  return Duration(static_cast<Duration::rep>(
      std::max(0.0, Left * State.Options.ObjectiveWaitShare)));
}

bool isOver(const Waiter &Next, TimePoint Now) {
  return Now >= Next.Deadline || Now >= Next.Until;
}

// True where a cold server has had all the requests of this second.
bool isColdFull(AdmissionState &State, TimePoint Now) {
  return isCold(State, Now) && State.Options.ColdPerSecond > 0 &&
         static_cast<double>(arrivalsInLastSecond(State.Arrivals, Now) + 1) >
             State.Options.ColdFactor * State.Options.ColdPerSecond;
}

bool isRepeatAllowed(const AdmissionState &State, const AdmissionQuery &Query,
                     TimePoint Now) {
  const AdmissionOptions &Options = State.Options;
  return !Query.Repeat ||
         (Options.RepeatRatio <= 0 && Options.RepeatSlack <= 0) ||
         mayRepeat(State.Arrivals, Options.RepeatRatio, Options.RepeatSlack,
                   Now);
}

// True where another server probably answers sooner.
bool isSlowNow(const AdmissionState &State, TimePoint Now) {
  return State.Options.SlowPercent != 0 &&
         workTimeNow(State, Now) >= State.Options.SlowPercent;
}

// Makes room in a full queue by ending the wait of the last request, where the
// new one is more urgent. The next call of expire rejects it.
bool displace(AdmissionState &State, std::uint32_t Priority, TimePoint Now) {
  if (State.Waiting.empty() || State.Waiting.back().Priority <= Priority) {
    return false;
  }
  State.Waiting.back().Until = Now;
  return true;
}

void enqueue(AdmissionState &State, const AdmissionQuery &Query,
             Duration Longest, TimePoint Now) {
  const auto Place = std::find_if(
      State.Waiting.begin(), State.Waiting.end(),
      [&](const Waiter &Next) { return Next.Priority > Query.Priority; });
  State.Waiting.insert(Place, {.Id = ++State.LastTicket,
                               .Since = Now,
                               .Deadline = Query.Deadline,
                               .Until = Now + Longest,
                               .Priority = Query.Priority,
                               .Repeat = Query.Repeat});
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
  if (isColdFull(State, Now)) {
    return refuse(State, ErrorKind::ColdStart);
  }
  if (Query.HasChoice && isSlowNow(State, Now)) {
    return refuse(State, ErrorKind::SlowInstance);
  }
  if (!isRepeatAllowed(State, Query, Now)) {
    return refuse(State, ErrorKind::Overloaded);
  }
  if (State.InFlight < limit(State) &&
      waitingBefore(State, Query.Priority) == 0) {
    take(State, Query.Repeat, Now);
    return {.Action = AdmissionAction::Run};
  }
  State.StepFull = true;
  const Duration Wait = expectedWait(State, Query.Priority, Now);
  const Duration Longest = longestWait(State, Query, Now);
  const bool Full = State.Waiting.size() >= State.Options.MaxWaiting;
  if (Wait > Longest || Now + Wait >= Query.Deadline ||
      (Full && !displace(State, Query.Priority, Now))) {
    return refuse(State, fullKind(State));
  }
  ++State.Queued;
  enqueue(State, Query, Longest, Now);
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
    if (isOver(*Next, Now)) {
      ++Next;
      continue;
    }
    if (isColdFull(State, Now)) {
      break;
    }
    Ready.push_back(Next->Id);
    take(State, Next->Repeat, Now);
    Next = State.Waiting.erase(Next);
  }
  return Ready;
}

std::vector<Expiry> expire(AdmissionState &State, TimePoint Now) {
  std::vector<Expiry> Ended;
  std::erase_if(State.Waiting, [&](const Waiter &Next) {
    if (!isOver(Next, Now)) {
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
    First = std::min({First, Next.Deadline, Next.Until});
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

void onWorkTime(AdmissionState &State, std::uint32_t Percent, TimePoint Now) {
  State.WorkTimePercent = Percent;
  State.WorkTimeAt = Now;
}

void onColdLeft(AdmissionState &State, Duration Left, TimePoint Now) {
  State.ColdUntil = Now + Left;
}

bool isCold(const AdmissionState &State, TimePoint Now) {
  return State.Options.AnnouncesCold && Now < State.ColdUntil;
}

void drain(AdmissionState &State) { State.Draining = true; }

std::uint32_t limit(const AdmissionState &State) {
  std::uint32_t Limit = internal::warmLimit(State);
  if (!State.Options.AnnouncesCold) {
    Limit = std::min(Limit, State.Ramp);
  }
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
          .WorkTimePercent = State.WorkTimePercent,
          .Run = State.Backend,
          .Draining = State.Draining,
          .ColdStart = internal::isRamping(State)};
}

} // namespace magnolia::policy
