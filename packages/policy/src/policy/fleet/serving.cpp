#include "policy/fleet/serving.h"

namespace magnolia::policy {

namespace {

void planRollout(ServingPlan &Plan, const MoveRecord &Move, TimePoint WallNow) {
  Plan.IsTimeDependent = !hasEnded(Move);
  if (Move.Phase != MovePhase::Shifting) {
    return;
  }
  Plan.MoveId = Move.Id;
  Plan.OldVersion = Move.FromVersion;
  Plan.NewVersion = Move.ToVersion;
  // Once the deadline has passed without Done, all nodes serve the old version.
  Plan.NewShare = WallNow < Move.Deadline ? Move.Share : 0;
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
              const MoveRecord *Move) {
  if (Move == nullptr) {
    return ServiceVersion.empty() || Version == ServiceVersion;
  }
  // If the service names no version, only the version that the rollout excludes
  // is shut out.
  const bool AllowsOthers = ServiceVersion.empty();
  switch (Move->Phase) {
  case MovePhase::Planned:
  case MovePhase::TakenBack:
    return AllowsOthers ? Version != Move->ToVersion
                        : Version == Move->FromVersion;
  case MovePhase::Shifting:
    return Version == Move->FromVersion || Version == Move->ToVersion;
  case MovePhase::Done:
    return AllowsOthers ? Version != Move->FromVersion
                        : Version == Move->ToVersion;
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
  if (Query.Move != nullptr) {
    planRollout(Plan, *Query.Move, WallNow);
  }
  for (const Member *const Record : Query.Members) {
    const bool IsOnlyRequested =
        !Query.Ordered.empty() && Record->Version == Query.Ordered;
    if (isLive(*Record) && !IsOnlyRequested &&
        mayServe(Record->Version, Query.Version, Query.Move)) {
      Plan.Members.push_back(
          {.Record = Record, .Distance = distance(Query, *Record)});
    }
  }
  return Plan;
}

} // namespace magnolia::policy
