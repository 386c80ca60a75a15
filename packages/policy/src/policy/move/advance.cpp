#include "policy/move/advance.h"

#include <algorithm>
#include <string>

namespace magnolia::policy {

namespace {

std::size_t lastStep(const MoveOptions &Options) {
  return Options.Steps.size() - 1;
}

// Returns true if the new version has enough responses in the current step for
// the next one, in total and on every route with much traffic.
bool hasEnoughResponses(const MoveRecord &Record, const MoveEvidence &Evidence,
                        const MoveOptions &Options) {
  if (Evidence.MoveId != Record.Id || Evidence.Step != Record.Step) {
    return false;
  }
  std::uint64_t New = 0;
  std::uint64_t Old = 0;
  for (const RouteEvidence &Route : Evidence.Routes) {
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
  return std::all_of(Evidence.Routes.begin(), Evidence.Routes.end(),
                     [&Options, Total](const RouteEvidence &Route) {
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

// Returns true if the new version's failure rate in this step stays within the
// margin above that of the old version over the whole rollout.
bool isHealthy(const MoveEvidence &Evidence, const MoveOptions &Options) {
  if (Options.FailureMargin <= 0) {
    return true;
  }
  VersionCounts New;
  for (const RouteEvidence &Route : Evidence.Routes) {
    New.Requests += Route.New.Requests;
    New.Failures += Route.New.Failures;
  }
  return failureRate(New) <=
         2 * failureRate(Evidence.OldTotal) + Options.FailureMargin;
}

MoveRecord atStep(MoveRecord Record, std::uint32_t Step, TimePoint Now,
                  const MoveOptions &Options) {
  Record.Phase = MovePhase::Shifting;
  Record.Step = Step;
  Record.Share = Options.Steps[Step].Share;
  Record.StepSince = Now;
  return Record;
}

// Returns the minimum time that the steps from this one on take.
Duration minTimeFrom(std::size_t Step, const MoveOptions &Options) {
  return Options.MinSoak *
         static_cast<std::int64_t>(Options.Steps.size() - Step);
}

// Returns the earliest end of a rollout in progress if every step from now on
// takes its minimum time. Keeping a large share when the rollout can no longer
// end in time would only expose callers to the new version.
TimePoint earliestEnd(const MoveRecord &Record, TimePoint Now,
                      const MoveOptions &Options) {
  if (Record.Phase != MovePhase::Shifting) {
    return Now;
  }
  const std::size_t Step =
      std::min<std::size_t>(Record.Step, lastStep(Options));
  const TimePoint StepEnd = std::max(Now, Record.StepSince + Options.MinSoak);
  return StepEnd + minTimeFrom(Step + 1, Options);
}

std::optional<MoveRecord> start(const MoveRecord &Record, TimePoint Now,
                                const MoveOptions &Options) {
  if (Now + minTimeFrom(0, Options) > latestDoneTime(Record, Options)) {
    return takeBack(Record, "too little time before the deadline", Now);
  }
  if (Now < Record.Start) {
    return std::nullopt;
  }
  return atStep(Record, 0, Now, Options);
}

std::uint64_t rankOf(std::string_view MoveId, NodeId Node) {
  return hashOf(MoveId, Node);
}

} // namespace

TimePoint latestDoneTime(const MoveRecord &Record, const MoveOptions &Options) {
  return Record.Deadline - Options.DoneMargin - Options.WriteAllowance;
}

Duration soakTime(const MoveRecord &Record, const MoveOptions &Options) {
  const std::size_t Step =
      std::min<std::size_t>(Record.Step, lastStep(Options));
  const auto StepsLeft = static_cast<std::int64_t>(Options.Steps.size() - Step);
  // Half of an even division: the rest is reserved for steps that wait for
  // responses, for the store and for a change of driver.
  const Duration Fitted =
      (latestDoneTime(Record, Options) - Record.StepSince) / (2 * StepsLeft);
  return std::clamp(Fitted, Options.MinSoak, Options.MaxSoak);
}

std::optional<MoveRecord> advance(const MoveRecord &Record,
                                  const MoveEvidence &Evidence, TimePoint Now,
                                  const MoveOptions &Options) {
  if (hasEnded(Record)) {
    return std::nullopt;
  }
  if (Evidence.MoveId == Record.Id && Evidence.Held.Kind == VerdictKind::Bad) {
    return takeBack(Record, Evidence.Held.Reason, Now);
  }
  if (earliestEnd(Record, Now, Options) > latestDoneTime(Record, Options)) {
    return takeBack(Record, "not complete in time before the deadline", Now);
  }
  if (Record.Phase == MovePhase::Planned) {
    return start(Record, Now, Options);
  }
  if (Now - Record.StepSince < soakTime(Record, Options) ||
      !hasEnoughResponses(Record, Evidence, Options)) {
    return std::nullopt;
  }
  if (!isHealthy(Evidence, Options)) {
    return Record.Share < Options.LargeShare
               ? std::nullopt
               : takeBack(Record, "the new version fails more often", Now);
  }
  if (Record.Step < lastStep(Options)) {
    return atStep(Record, Record.Step + 1, Now, Options);
  }
  MoveRecord Next = Record;
  Next.Phase = MovePhase::Done;
  Next.Share = 1.0;
  Next.EndedAt = Now;
  Next.EndReason = "completed";
  return Next;
}

std::optional<MoveRecord> takeBack(const MoveRecord &Record,
                                   std::string_view Reason, TimePoint Now) {
  if (hasEnded(Record)) {
    return std::nullopt;
  }
  MoveRecord Next = Record;
  Next.Phase = MovePhase::TakenBack;
  Next.Share = 0.0;
  Next.EndedAt = Now;
  Next.EndReason = Reason;
  return Next;
}

std::optional<std::size_t> driverRank(NodeId Self,
                                      std::span<const Member> Watchers,
                                      std::string_view MoveId) {
  std::size_t Rank = 0;
  bool Present = false;
  const std::uint64_t Own = rankOf(MoveId, Self);
  for (const Member &Other : Watchers) {
    if (Other.Node == Self) {
      Present = true;
    } else if (isLive(Other) && rankOf(MoveId, Other.Node) < Own) {
      ++Rank;
    }
  }
  return Present ? std::optional(Rank) : std::nullopt;
}

bool shouldDrive(NodeId Self, std::span<const Member> Watchers,
                 std::string_view MoveId, TimePoint DueAt, TimePoint Now,
                 const MoveOptions &Options) {
  const auto Rank = driverRank(Self, Watchers, MoveId);
  return Rank && Now - DueAt >=
                     Options.TakeoverDelay * static_cast<std::int64_t>(*Rank);
}

} // namespace magnolia::policy
