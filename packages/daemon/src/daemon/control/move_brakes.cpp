#include "daemon/control/move_brakes.h"

#include "daemon/control/clock.h"
#include "daemon/view/evidence_recorder.h"
#include "daemon/view/version_cuts.h"
#include "policy/move/brake.h"

#include <utility>

namespace magnolia::daemon {

MoveBrakes::MoveBrakes(VersionCuts &Cuts, VerdictHandler Handler)
    : Cuts(Cuts), OnVerdict(std::move(Handler)) {}

void MoveBrakes::count(const EvidenceSample &Sample) {
  if (Active == 0) {
    return;
  }
  const policy::TimePoint Now = wallNow();
  policy::Verdict Held;
  std::string MoveId;
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
    const bool BecameBad = policy::countAnswer(
        Target.Brake, Sample.Route,
        IsNew ? policy::MoveSide::New : policy::MoveSide::Old, Sample.Failed,
        Sample.Latency, Now);
    if (IsNew) {
      apply(Target, Now);
    }
    if (!BecameBad) {
      return;
    }
    Held = Target.Brake.Held;
    MoveId = Target.Record.Id;
  }
  OnVerdict(std::string(Sample.Service), std::move(MoveId), std::move(Held));
}

void MoveBrakes::setRecord(const policy::MoveRecord &Record) {
  const std::lock_guard Lock(Mutex);
  const auto Found = Entries.find(Record.Service);
  if (Found != Entries.end() && Found->second.Record.Id != Record.Id) {
    Cuts.restore(Record.Service, Found->second.Record.ToVersion);
  }
  if (policy::hasEnded(Record)) {
    if (Found != Entries.end()) {
      Entries.erase(Found);
    }
    // The override of a version that was rolled back stays in place: traffic
    // threads may still hold the view with the rollout in progress.
    if (Record.Phase == policy::MovePhase::Done) {
      Cuts.restore(Record.Service, Record.ToVersion);
    }
  } else {
    Entry &Target = Entries[Record.Service];
    Target.Record = Record;
    policy::beginMove(Target.Brake, Record);
    apply(Target, wallNow());
  }
  Active = Entries.size();
}

void MoveBrakes::removeRecord(std::string_view Service) {
  const std::lock_guard Lock(Mutex);
  const auto Found = Entries.find(Service);
  if (Found != Entries.end()) {
    Cuts.restore(Service, Found->second.Record.ToVersion);
    Entries.erase(Found);
  }
  Active = Entries.size();
}

bool MoveBrakes::join(std::string_view Service, std::string_view MoveId,
                      const policy::Verdict &Sent) {
  const std::lock_guard Lock(Mutex);
  const auto Found = Entries.find(Service);
  if (Found == Entries.end() ||
      !policy::joinVerdict(Found->second.Brake, MoveId, Sent)) {
    return false;
  }
  apply(Found->second, wallNow());
  return true;
}

void MoveBrakes::refresh(policy::TimePoint WallNow) {
  const std::lock_guard Lock(Mutex);
  for (const auto &[Service, Target] : Entries) {
    apply(Target, WallNow);
  }
}

std::vector<std::pair<std::string, policy::EvidenceReport>>
MoveBrakes::takeReports(policy::NodeId Self, policy::Incarnation Run) {
  std::vector<std::pair<std::string, policy::EvidenceReport>> Reports;
  const std::lock_guard Lock(Mutex);
  for (auto &[Service, Target] : Entries) {
    policy::EvidenceReport Report =
        policy::takeReport(Target.Brake, Target.Record, Self, Run);
    if (!Report.Routes.empty()) {
      Reports.emplace_back(Service, std::move(Report));
    }
  }
  return Reports;
}

double MoveBrakes::share(std::string_view Service,
                         policy::TimePoint WallNow) const {
  const std::lock_guard Lock(Mutex);
  const auto Found = Entries.find(Service);
  if (Found == Entries.end()) {
    return 0;
  }
  return policy::effectiveShare(Found->second.Record, Found->second.Brake,
                                WallNow);
}

policy::Verdict MoveBrakes::verdict(std::string_view Service) const {
  const std::lock_guard Lock(Mutex);
  const auto Found = Entries.find(Service);
  return Found == Entries.end() ? policy::Verdict{} : Found->second.Brake.Held;
}

void MoveBrakes::apply(const Entry &Changed, policy::TimePoint WallNow) {
  const policy::MoveRecord &Record = Changed.Record;
  // The share is set even if it equals that of the record: the view that the
  // traffic threads hold may be older than the record.
  Cuts.setShare(Record.Service, Record.ToVersion,
                policy::effectiveShare(Record, Changed.Brake, WallNow));
}

} // namespace magnolia::daemon
