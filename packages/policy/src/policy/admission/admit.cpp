#include "policy/admission/admit.h"

#include "policy/admission/internal/cold_rate.h"
#include "policy/admission/internal/ramp.h"

#include <algorithm>

namespace magnolia::policy {

namespace {

// Returns true if the rate of a cold server and not a missing slot makes
// requests wait.
bool isHeldByPace(const AdmissionState &State, TimePoint Now) {
  return internal::isPaced(State, Now) &&
         (State.InFlight < limit(State) ||
          internal::nextColdStart(State, Now) > Now);
}

ErrorKind fullErrorKind(const AdmissionState &State, TimePoint Now) {
  return internal::isRamping(State) || isHeldByPace(State, Now)
             ? ErrorKind::ColdStart
             : ErrorKind::Overloaded;
}

AdmissionDecision refuse(AdmissionState &State, ErrorKind Kind) {
  ++State.Refused;
  return {.Action = AdmissionAction::Refuse, .Kind = Kind};
}

void takeSlot(AdmissionState &State, bool Repeat, TimePoint Now) {
  internal::addBusyTime(State, Now);
  recordArrival(State.Arrivals, Repeat, Now);
  internal::recordColdStart(State, Now);
  ++State.InFlight;
  ++State.Admitted;
  State.MaxInFlight = std::max(State.MaxInFlight, State.InFlight);
  State.StepReachedLimit |= State.InFlight >= limit(State);
}

// Returns the number of waiting requests served before a new one of this
// priority.
std::size_t countWaitingBefore(const AdmissionState &State,
                               std::uint32_t Priority) {
  return static_cast<std::size_t>(std::count_if(
      State.Waiting.begin(), State.Waiting.end(),
      [Priority](const Waiter &Entry) { return Entry.Priority <= Priority; }));
}

// Returns the processing time in percent of the usual time; 100 if there is no
// recent measurement.
std::uint32_t workTimeNow(const AdmissionState &State, TimePoint Now) {
  constexpr std::uint32_t UsualPercent = 100;
  const bool Fresh = State.WorkTimePercent != 0 &&
                     Now - State.WorkTimeAt <= State.Options.WorkTimeMaxAge;
  return Fresh ? State.WorkTimePercent : UsualPercent;
}

// Estimates the time until a request behind this number of others gets a slot.
Duration expectedSlotWait(const AdmissionState &State, std::size_t Before,
                          TimePoint Now) {
  constexpr std::uint32_t UsualPercent = 100;
  const Duration PerSlot =
      State.Latency * workTimeNow(State, Now) / (UsualPercent * limit(State));
  if (!internal::isPaced(State, Now)) {
    return PerSlot * (Before + 1);
  }
  // Requests that wait for the rate leave slots free.
  const std::size_t Free =
      limit(State) - std::min(limit(State), State.InFlight);
  return PerSlot * (Before + 1 - std::min(Before + 1, Free));
}

// Estimates the time until a request of this priority starts.
Duration expectedWait(const AdmissionState &State, std::uint32_t Priority,
                      TimePoint Now) {
  const std::size_t Before = countWaitingBefore(State, Priority);
  return std::max(expectedSlotWait(State, Before, Now),
                  internal::expectedColdWait(State, Before, Now));
}

// A request with an objective may wait for a share of the time left, since it
// still has to run afterwards. A request without one may wait for a fixed time.
Duration maxWait(const AdmissionState &State, const AdmissionQuery &Query,
                 TimePoint Now) {
  if (Query.Objective == TimePoint{}) {
    return State.Options.MaxWait;
  }
  const auto Left = static_cast<double>((Query.Objective - Now).count());
  return Duration(static_cast<Duration::rep>(
      std::max(0.0, Left * State.Options.ObjectiveWaitShare)));
}

bool isExpired(const Waiter &Entry, TimePoint Now) {
  return Now >= Entry.Deadline || Now >= Entry.Until;
}

bool usesRetryBudget(const AdmissionQuery &Query) {
  return Query.Repeat || Query.OfRepeat;
}

bool isRetryAllowed(const AdmissionState &State, const AdmissionQuery &Query,
                    TimePoint Now) {
  const AdmissionOptions &Options = State.Options;
  if (!Query.Repeat || (Options.RepeatRatio <= 0 && Options.RepeatSlack <= 0)) {
    return true;
  }
  const double Share = Query.Nested ? 1 : 1 - Options.NestedRepeatShare;
  return isRetryWithinBudget(State.Arrivals, Options.RepeatRatio * Share,
                             Options.RepeatSlack * Share, Now);
}

// Returns true if another server probably responds sooner.
bool isSlowNow(const AdmissionState &State, TimePoint Now) {
  return State.Options.SlowPercent != 0 &&
         workTimeNow(State, Now) >= State.Options.SlowPercent;
}

// Ends the wait of the last request in a full queue if the new one has a higher
// priority; expire then rejects the last request.
bool displaceLast(AdmissionState &State, std::uint32_t Priority,
                  TimePoint Now) {
  if (State.Waiting.empty() || State.Waiting.back().Priority <= Priority) {
    return false;
  }
  State.Waiting.back().Until = Now;
  return true;
}

void enqueue(AdmissionState &State, const Waiter &Entry) {
  const auto Position = std::find_if(
      State.Waiting.begin(), State.Waiting.end(),
      [&](const Waiter &Other) { return Other.Priority > Entry.Priority; });
  State.Waiting.insert(Position, Entry);
}

// Priority of a request that goes first because of the share of its
// organisation: that of the most urgent routes, after nested calls.
constexpr std::uint32_t FirstPriority = 1;

ShareOutcome servedOutcome(const Waiter &Entry) {
  return Entry.GoesFirst ? ShareOutcome::ServedFirst : ShareOutcome::Served;
}

// Returns true if a request of this priority starts without a wait.
bool mayStart(const AdmissionState &State, std::uint32_t Priority,
              TimePoint Now) {
  return State.InFlight < limit(State) &&
         countWaitingBefore(State, Priority) == 0 &&
         (!internal::isPaced(State, Now) ||
          internal::nextColdStart(State, Now) <= Now);
}

// Decides on a request that finds no free slot, or the rate of a cold server
// reached.
AdmissionDecision admitToQueue(AdmissionState &State,
                               const AdmissionQuery &Query, TimePoint Now) {
  State.StepReachedLimit = true;
  const bool First = Query.Priority > FirstPriority &&
                     goesFirst(State.Shares, Query.Organisation);
  const std::uint32_t Priority = First ? FirstPriority : Query.Priority;
  if (First && mayStart(State, Priority, Now)) {
    takeSlot(State, usesRetryBudget(Query), Now);
    recordShare(State.Shares, Query.Organisation, ShareOutcome::ServedFirst);
    return {.Action = AdmissionAction::Run};
  }
  const Duration Wait = expectedWait(State, Priority, Now);
  const Duration MaxWaitTime = maxWait(State, Query, Now);
  const bool Full = State.Waiting.size() >= State.Options.MaxWaiting;
  if (Wait > MaxWaitTime || Now + Wait >= Query.Deadline ||
      (Full && !displaceLast(State, Priority, Now))) {
    recordShare(State.Shares, Query.Organisation, ShareOutcome::Unserved);
    return refuse(State, fullErrorKind(State, Now));
  }
  ++State.Queued;
  enqueue(State, {.Id = ++State.LastTicket,
                  .Since = Now,
                  .Deadline = Query.Deadline,
                  .Until = Now + MaxWaitTime,
                  .Priority = Priority,
                  .Repeat = usesRetryBudget(Query),
                  .Organisation = std::string(Query.Organisation),
                  .GoesFirst = First});
  return {.Action = AdmissionAction::Wait,
          .Id = State.LastTicket,
          .ForColdRate = isHeldByPace(State, Now)};
}

// Starts waiting requests in their order while slots and the rate of a cold
// server permit it. Expired ones stay in the queue until expire rejects them.
std::vector<Ticket> startWaiting(AdmissionState &State, TimePoint Now) {
  std::vector<Ticket> Ready;
  for (auto Entry = State.Waiting.begin();
       Entry != State.Waiting.end() && State.InFlight < limit(State);) {
    if (isExpired(*Entry, Now)) {
      ++Entry;
      continue;
    }
    if (internal::isColdRateReached(State, Now)) {
      break;
    }
    Ready.push_back(Entry->Id);
    takeSlot(State, Entry->Repeat, Now);
    recordShare(State.Shares, Entry->Organisation, servedOutcome(*Entry));
    Entry = State.Waiting.erase(Entry);
  }
  return Ready;
}

} // namespace

AdmissionDecision admit(AdmissionState &State, const AdmissionQuery &Query,
                        TimePoint Now) {
  if (State.Draining || State.NodeDraining) {
    return refuse(State, ErrorKind::Draining);
  }
  if (Query.Deadline > State.StopEnd) {
    return refuse(State, ErrorKind::Shutdown);
  }
  if (Now >= Query.Deadline) {
    return refuse(State, ErrorKind::DeadlineExceededNotRun);
  }
  if (!State.Options.PacesCold && internal::isColdRateReached(State, Now)) {
    return refuse(State, ErrorKind::ColdStart);
  }
  if (Query.HasChoice && isSlowNow(State, Now)) {
    return refuse(State, ErrorKind::SlowInstance);
  }
  if (!isRetryAllowed(State, Query, Now)) {
    return refuse(State, ErrorKind::Overloaded);
  }
  if (mayStart(State, Query.Priority, Now)) {
    takeSlot(State, usesRetryBudget(Query), Now);
    recordShare(State.Shares, Query.Organisation, ShareOutcome::Served);
    return {.Action = AdmissionAction::Run};
  }
  return admitToQueue(State, Query, Now);
}

std::vector<Ticket> complete(AdmissionState &State, const Completion &Ended,
                             TimePoint Now) {
  internal::addBusyTime(State, Now);
  State.InFlight -= State.InFlight > 0 ? 1 : 0;
  if (!Ended.NotSent) {
    internal::recordCompletion(State, Ended, Now);
  }
  if (Ended.NeverStarted != TimePoint{}) {
    internal::returnColdStart(State, Ended.NeverStarted, Now);
  }
  return startWaiting(State, Now);
}

TimePoint nextStart(const AdmissionState &State, TimePoint Now) {
  const bool Waits = std::any_of(
      State.Waiting.begin(), State.Waiting.end(),
      [Now](const Waiter &Entry) { return !isExpired(Entry, Now); });
  if (!State.Options.PacesCold || !Waits || State.InFlight >= limit(State)) {
    return TimePoint::max();
  }
  return internal::isPaced(State, Now) ? internal::nextColdStart(State, Now)
                                       : Now;
}

std::vector<Ticket> release(AdmissionState &State, TimePoint Now) {
  return State.Options.PacesCold ? startWaiting(State, Now)
                                 : std::vector<Ticket>();
}

std::vector<Expiry> expire(AdmissionState &State, TimePoint Now) {
  std::vector<Expiry> Ended;
  std::erase_if(State.Waiting, [&](const Waiter &Entry) {
    if (!isExpired(Entry, Now)) {
      return false;
    }
    recordShare(State.Shares, Entry.Organisation, ShareOutcome::Unserved);
    Ended.push_back({.Id = Entry.Id,
                     .Kind = Now >= Entry.Deadline
                                 ? ErrorKind::DeadlineExceededNotRun
                                 : fullErrorKind(State, Now)});
    return true;
  });
  State.Expired += Ended.size();
  return Ended;
}

TimePoint nextExpiry(const AdmissionState &State) {
  TimePoint First = TimePoint::max();
  for (const Waiter &Entry : State.Waiting) {
    First = std::min({First, Entry.Deadline, Entry.Until});
  }
  return First;
}

bool abandon(AdmissionState &State, Ticket Id) {
  return std::erase_if(State.Waiting, [Id](const Waiter &Entry) {
           return Entry.Id == Id;
         }) > 0;
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

void drainNode(AdmissionState &State) { State.NodeDraining = true; }

void beginStop(AdmissionState &State, TimePoint End) { State.StopEnd = End; }

std::uint32_t limit(const AdmissionState &State) {
  std::uint32_t Limit = internal::warmLimit(State);
  if (!State.Options.AnnouncesCold) {
    Limit = std::min(Limit, State.Ramp);
  }
  if (State.AdaptiveLimit > 0) {
    Limit = std::min(Limit, static_cast<std::uint32_t>(State.AdaptiveLimit));
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
          .Draining = State.Draining || State.NodeDraining,
          .ColdStart = internal::isRamping(State)};
}

} // namespace magnolia::policy
