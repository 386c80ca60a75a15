#include "policy/rollout/advance.h"

#include <algorithm>
#include <cmath>
#include <string>

namespace magnolia::policy {

namespace {

std::size_t lastStep(const RolloutOptions &Options) {
  return Options.Steps.size() - 1;
}

// Returns true if the new version has enough responses in the current step for
// the next one, in total and on every route with much traffic.
bool hasEnoughResponses(const RolloutRecord &Record, const RolloutStats &Stats,
                        const RolloutOptions &Options) {
  if (Stats.RolloutId != Record.Id || Stats.Step != Record.Step) {
    return false;
  }
  std::uint64_t New = 0;
  std::uint64_t Old = 0;
  for (const RouteStats &Route : Stats.Routes) {
    New += Route.New.Requests;
    Old += Route.Old.Requests;
  }
  const std::size_t Step =
      std::min<std::size_t>(Record.Step, lastStep(Options));
  // The second step has at most 5% of the traffic, so it needs no minimum on
  // each single route.
  if (New < Options.Steps[Step].MinRequests || Step == 0) {
    return New >= Options.Steps[Step].MinRequests;
  }
  const double Total = static_cast<double>(New + Old);
  return std::all_of(Stats.Routes.begin(), Stats.Routes.end(),
                     [&Options, Total](const RouteStats &Route) {
                       const auto Requests = static_cast<double>(
                           Route.New.Requests + Route.Old.Requests);
                       return Route.New.Requests >= Options.MinRouteRequests ||
                              Requests < Total * Options.MinRouteShare;
                     });
}

double failureRate(const VersionCounts &Counts) {
  return Counts.Requests == 0 ? 0
                              : static_cast<double>(Counts.Failures) /
                                    static_cast<double>(Counts.Requests);
}

// Returns the responses of the new version in the current step.
VersionCounts newInStep(const RolloutStats &Stats) {
  VersionCounts Sum;
  for (const RouteStats &Route : Stats.Routes) {
    addCounts(Sum, Route.New);
  }
  return Sum;
}

// Returns the failure rate that the new version may have.
double permittedRate(const VersionCounts &Old, const RolloutOptions &Options) {
  return 2 * failureRate(Old) + Options.FailureMargin;
}

// Returns true if the new version's failure rate in this step stays within the
// margin above that of the old version.
bool isHealthy(const RolloutStats &Stats, const RolloutOptions &Options) {
  return Options.FailureMargin <= 0 ||
         failureRate(newInStep(Stats)) <=
             permittedRate(oldBaseline(Stats), Options);
}

// Returns true if the new version has a large share and fails too often even
// before the end of the step. Waiting for it would expose callers for longer.
// Since this is checked all the time, the failures must exceed the permitted
// number by two standard deviations.
bool failsEarly(const RolloutRecord &Record, const RolloutStats &Stats,
                const RolloutOptions &Options) {
  const bool Applies =
      Options.FailureMargin > 0 && Record.Phase == RolloutPhase::Shifting &&
      Record.Share >= Options.LargeShare && Stats.RolloutId == Record.Id &&
      Stats.Step == Record.Step;
  const VersionCounts Old = oldBaseline(Stats);
  const VersionCounts New = newInStep(Stats);
  if (!Applies || Old.Requests < RolloutStats::MinBaselineResponses ||
      New.Failures < Options.MinEarlyFailures) {
    return false;
  }
  const double Permitted =
      permittedRate(Old, Options) * static_cast<double>(New.Requests);
  return static_cast<double>(New.Failures) >
         Permitted + 2 * std::sqrt(Permitted);
}

RolloutRecord atStep(RolloutRecord Record, std::uint32_t Step, TimePoint Now,
                     const RolloutOptions &Options) {
  Record.Phase = RolloutPhase::Shifting;
  Record.Step = Step;
  Record.Share = Options.Steps[Step].Share;
  Record.StepSince = Now;
  return Record;
}

// Returns the minimum time that the steps from this one on take.
Duration minTimeFrom(std::size_t Step, const RolloutOptions &Options) {
  return Options.MinSoak *
         static_cast<std::int64_t>(Options.Steps.size() - Step);
}

// Returns the earliest end of a rollout in progress if every step from now on
// takes its minimum time. Keeping a large share when the rollout can no longer
// end in time would only expose callers to the new version.
TimePoint earliestEnd(const RolloutRecord &Record, TimePoint Now,
                      const RolloutOptions &Options) {
  if (Record.Phase != RolloutPhase::Shifting) {
    return Now;
  }
  const std::size_t Step =
      std::min<std::size_t>(Record.Step, lastStep(Options));
  const TimePoint StepEnd = std::max(Now, Record.StepSince + Options.MinSoak);
  return StepEnd + minTimeFrom(Step + 1, Options);
}

std::optional<RolloutRecord> start(const RolloutRecord &Record, TimePoint Now,
                                   const RolloutOptions &Options) {
  if (Now + minTimeFrom(0, Options) > latestDoneTime(Record, Options)) {
    return rollBack(Record, "too little time before the deadline", Now);
  }
  if (Now < Record.Start) {
    return std::nullopt;
  }
  return atStep(Record, 0, Now, Options);
}

std::uint64_t rankOf(std::string_view RolloutId, NodeId Node) {
  return hashOf(RolloutId, Node);
}

} // namespace

TimePoint latestDoneTime(const RolloutRecord &Record,
                         const RolloutOptions &Options) {
  return Record.Deadline - Options.DoneMargin - Options.WriteAllowance;
}

Duration soakTime(const RolloutRecord &Record, const RolloutOptions &Options) {
  const std::size_t Step =
      std::min<std::size_t>(Record.Step, lastStep(Options));
  const auto StepsLeft = static_cast<std::int64_t>(Options.Steps.size() - Step);
  // Half of an even division: the rest is reserved for steps that wait for
  // responses, for the store and for a change of driver.
  const Duration Fitted =
      (latestDoneTime(Record, Options) - Record.StepSince) / (2 * StepsLeft);
  return std::clamp(Fitted, Options.MinSoak, Options.MaxSoak);
}

std::optional<RolloutRecord> advance(const RolloutRecord &Record,
                                     const RolloutStats &Stats, TimePoint Now,
                                     const RolloutOptions &Options) {
  if (hasEnded(Record)) {
    return std::nullopt;
  }
  if (Stats.RolloutId == Record.Id && Stats.Current.Kind == VerdictKind::Bad) {
    return rollBack(Record, Stats.Current.Reason, Now);
  }
  if (earliestEnd(Record, Now, Options) > latestDoneTime(Record, Options)) {
    return rollBack(Record, "not complete in time before the deadline", Now);
  }
  if (failsEarly(Record, Stats, Options)) {
    return rollBack(Record, "the new version fails more often", Now);
  }
  if (Record.Phase == RolloutPhase::Planned) {
    return start(Record, Now, Options);
  }
  if (Now - Record.StepSince < soakTime(Record, Options) ||
      !hasEnoughResponses(Record, Stats, Options)) {
    return std::nullopt;
  }
  if (!isHealthy(Stats, Options)) {
    return Record.Share < Options.LargeShare
               ? std::nullopt
               : rollBack(Record, "the new version fails more often", Now);
  }
  if (Record.Step < lastStep(Options)) {
    return atStep(Record, Record.Step + 1, Now, Options);
  }
  RolloutRecord Next = Record;
  Next.Phase = RolloutPhase::Done;
  Next.Share = 1.0;
  Next.EndedAt = Now;
  Next.EndReason = "completed";
  return Next;
}

std::optional<RolloutRecord> rollBack(const RolloutRecord &Record,
                                      std::string_view Reason, TimePoint Now) {
  if (hasEnded(Record)) {
    return std::nullopt;
  }
  RolloutRecord Next = Record;
  Next.Phase = RolloutPhase::RolledBack;
  Next.Share = 0.0;
  Next.EndedAt = Now;
  Next.EndReason = Reason;
  return Next;
}

std::optional<std::size_t> driverRank(NodeId Self,
                                      std::span<const Member> Watchers,
                                      std::string_view RolloutId) {
  std::size_t Rank = 0;
  bool Present = false;
  const std::uint64_t Own = rankOf(RolloutId, Self);
  for (const Member &Other : Watchers) {
    if (Other.Node == Self) {
      Present = true;
    } else if (isLive(Other) && rankOf(RolloutId, Other.Node) < Own) {
      ++Rank;
    }
  }
  return Present ? std::optional(Rank) : std::nullopt;
}

bool shouldDrive(NodeId Self, std::span<const Member> Watchers,
                 std::string_view RolloutId, TimePoint DueAt, TimePoint Now,
                 const RolloutOptions &Options) {
  const auto Rank = driverRank(Self, Watchers, RolloutId);
  return Rank && Now - DueAt >=
                     Options.TakeoverDelay * static_cast<std::int64_t>(*Rank);
}

} // namespace magnolia::policy
