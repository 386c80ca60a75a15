#include "policy/fleet/serving.h"

namespace magnolia::policy {

namespace {

void planRollout(ServingPlan &Plan, const RolloutRecord &Rollout,
                 TimePoint WallNow) {
  Plan.IsTimeDependent = !hasEnded(Rollout);
  if (Rollout.Phase != RolloutPhase::Shifting) {
    return;
  }
  Plan.RolloutId = Rollout.Id;
  Plan.OldVersion = Rollout.FromVersion;
  Plan.NewVersion = Rollout.ToVersion;
  // Once the deadline has passed without Done, all nodes serve the old version.
  Plan.NewShare = WallNow < Rollout.Deadline ? Rollout.Share : 0;
}

} // namespace

std::map<std::string_view, std::vector<const Member *>>
membersByService(std::span<const Member> Members) {
  std::map<std::string_view, std::vector<const Member *>> Result;
  for (const Member &Record : Members) {
    if (!Record.Service.empty()) {
      Result[Record.Service].push_back(&Record);
    }
  }
  return Result;
}

bool mayServe(std::string_view Version, std::string_view ServiceVersion,
              const RolloutRecord *Rollout) {
  if (Rollout == nullptr) {
    return ServiceVersion.empty() || Version == ServiceVersion;
  }
  // If the service names no version, only the version that the rollout excludes
  // is shut out.
  const bool AllowsOthers = ServiceVersion.empty();
  switch (Rollout->Phase) {
  case RolloutPhase::Planned:
  case RolloutPhase::RolledBack:
    return AllowsOthers ? Version != Rollout->ToVersion
                        : Version == Rollout->FromVersion;
  case RolloutPhase::Shifting:
    return Version == Rollout->FromVersion || Version == Rollout->ToVersion;
  case RolloutPhase::Done:
    return AllowsOthers ? Version != Rollout->FromVersion
                        : Version == Rollout->ToVersion;
  }
  return false;
}

Duration distance(const ServingQuery &Query, const Member &Other) {
  if (Other.Region != Query.Self.Region) {
    return Query.RegionDistance;
  }
  return Other.Zone == Query.Self.Zone ? Duration{0} : Query.ZoneDistance;
}

ServingPlan planService(const ServingQuery &Query, TimePoint WallNow) {
  ServingPlan Plan;
  if (Query.Rollout != nullptr) {
    planRollout(Plan, *Query.Rollout, WallNow);
  }
  for (const Member *const Record : Query.Members) {
    const bool IsOnlyRequested = !Query.RequestedVersion.empty() &&
                                 Record->Version == Query.RequestedVersion;
    if (isLive(*Record) && !IsOnlyRequested &&
        mayServe(Record->Version, Query.Version, Query.Rollout)) {
      Plan.Members.push_back(
          {.Record = Record, .Distance = distance(Query, *Record)});
    }
  }
  return Plan;
}

} // namespace magnolia::policy
