#include "daemon/control/rollout_breakers.h"

#include "daemon/control/clock.h"
#include "daemon/view/response_recorder.h"
#include "daemon/view/share_overrides.h"
#include "policy/rollout/breaker.h"

#include <utility>

namespace magnolia::daemon {

RolloutBreakers::RolloutBreakers(ShareOverrides &Overrides,
                                 VerdictHandler Handler)
    : Overrides(Overrides), OnVerdict(std::move(Handler)) {}

void RolloutBreakers::count(const ResponseSample &Sample) {
  if (Active == 0) {
    return;
  }
  const policy::TimePoint Now = wallNow();
  policy::Verdict Current;
  std::string RolloutId;
  {
    const std::lock_guard Lock(Mutex);
    const auto Found = Entries.find(Sample.Service);
    if (Found == Entries.end()) {
      return;
    }
    Entry &Target = Found->second;
    const bool IsNew = Sample.Version == Target.Record.ToVersion;
    if (!IsNew && Sample.Version != Target.Record.FromVersion) {
      return;
    }
    const bool BecameBad = policy::countResponse(
        Target.Breaker, Sample.Route,
        IsNew ? policy::VersionRole::New : policy::VersionRole::Old,
        Sample.Failed, Sample.Latency, Now);
    if (IsNew) {
      apply(Target, Now);
    }
    if (!BecameBad) {
      return;
    }
    Current = Target.Breaker.Current;
    RolloutId = Target.Record.Id;
  }
  OnVerdict(std::string(Sample.Service), std::move(RolloutId),
            std::move(Current));
}

void RolloutBreakers::setRecord(const policy::RolloutRecord &Record) {
  const std::lock_guard Lock(Mutex);
  const auto Found = Entries.find(Record.Service);
  if (Found != Entries.end() && Found->second.Record.Id != Record.Id) {
    Overrides.restore(Record.Service, Found->second.Record.ToVersion);
  }
  if (policy::hasEnded(Record)) {
    if (Found != Entries.end()) {
      Entries.erase(Found);
    }
    // The override of a version that was rolled back stays in place: traffic
    // threads may still hold the view with the rollout in progress.
    if (Record.Phase == policy::RolloutPhase::Done) {
      Overrides.restore(Record.Service, Record.ToVersion);
    }
  } else {
    Entry &Target = Entries[Record.Service];
    Target.Record = Record;
    policy::beginRollout(Target.Breaker, Record);
    apply(Target, wallNow());
  }
  Active = Entries.size();
}

void RolloutBreakers::removeRecord(std::string_view Service) {
  const std::lock_guard Lock(Mutex);
  const auto Found = Entries.find(Service);
  if (Found != Entries.end()) {
    Overrides.restore(Service, Found->second.Record.ToVersion);
    Entries.erase(Found);
  }
  Active = Entries.size();
}

bool RolloutBreakers::join(std::string_view Service, std::string_view RolloutId,
                           const policy::Verdict &Sent) {
  const std::lock_guard Lock(Mutex);
  const auto Found = Entries.find(Service);
  if (Found == Entries.end() ||
      !policy::joinVerdict(Found->second.Breaker, RolloutId, Sent)) {
    return false;
  }
  apply(Found->second, wallNow());
  return true;
}

void RolloutBreakers::refresh(policy::TimePoint WallNow) {
  const std::lock_guard Lock(Mutex);
  for (const auto &[Service, Target] : Entries) {
    apply(Target, WallNow);
  }
}

std::vector<std::pair<std::string, policy::StatsReport>>
RolloutBreakers::takeReports(policy::NodeId Self, policy::Incarnation Run) {
  std::vector<std::pair<std::string, policy::StatsReport>> Reports;
  const std::lock_guard Lock(Mutex);
  for (auto &[Service, Target] : Entries) {
    policy::StatsReport Report =
        policy::takeReport(Target.Breaker, Target.Record, Self, Run);
    if (!Report.Routes.empty()) {
      Reports.emplace_back(Service, std::move(Report));
    }
  }
  return Reports;
}

double RolloutBreakers::share(std::string_view Service,
                              policy::TimePoint WallNow) const {
  const std::lock_guard Lock(Mutex);
  const auto Found = Entries.find(Service);
  if (Found == Entries.end()) {
    return 0;
  }
  return policy::effectiveShare(Found->second.Record, Found->second.Breaker,
                                WallNow);
}

policy::Verdict RolloutBreakers::verdict(std::string_view Service) const {
  const std::lock_guard Lock(Mutex);
  const auto Found = Entries.find(Service);
  return Found == Entries.end() ? policy::Verdict{}
                                : Found->second.Breaker.Current;
}

void RolloutBreakers::apply(const Entry &Changed, policy::TimePoint WallNow) {
  const policy::RolloutRecord &Record = Changed.Record;
  // The share is set even if it equals that of the record: the view that the
  // traffic threads hold may be older than the record.
  Overrides.setShare(Record.Service, Record.ToVersion,
                     policy::effectiveShare(Record, Changed.Breaker, WallNow));
}

} // namespace magnolia::daemon
