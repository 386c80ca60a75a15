#include "daemon/control/rollout_runner.h"

#include "daemon/control/clock.h"
#include "daemon/control/config_runner.h"
#include "daemon/control/control_client.h"
#include "daemon/control/membership_runner.h"
#include "daemon/control/rollout_breakers.h"
#include "daemon/control/stats_codec.h"
#include "daemon/control/store_worker.h"
#include "daemon/control/task_queue.h"
#include "policy/config/push_targets.h"
#include "policy/core/epoch.h"
#include "policy/fleet/restore_options.h"
#include "policy/rollout/advance.h"
#include "policy/rollout/drive.h"
#include "policy/rollout/lost_record.h"
#include "settings/record/format_record.h"
#include "settings/record/record_key.h"
#include "store/client/put_resolved.h"

#include <algorithm>
#include <utility>
#include <wire/control.pb.h>

namespace magnolia::daemon {

namespace {

// 250 ms: with 500 ms, more of the seeded simulation runs took longer than 2 s
// to stop the traffic to a bad version at low request rates.
constexpr policy::Duration ReportPeriod = std::chrono::milliseconds(250);
constexpr std::chrono::milliseconds WriteTimeout{2000};

ControlEndpoint endpointOf(const policy::Member &Target) {
  return {.Address = Target.Address, .Port = Target.ControlPort};
}

// Identifies a write among all writers of a record by the node, its incarnation
// and a counter.
std::string operationId(const policy::Member &Self, std::uint64_t Count) {
  return std::to_string(Self.Node) + "-" + std::to_string(Self.Run) + "-" +
         std::to_string(Count);
}

// Outcome of a write, and the record that the store holds after it if known.
struct WriteResult {
  bool Written = false;
  std::optional<policy::ConfigEntry> Current;
};

WriteResult writeRecord(const store::StoreOperations &Store,
                        const store::PutRequest &Request,
                        const std::string &OperationId) {
  store::StoreError LastError;
  const auto Revision =
      store::putResolved(Store, Request, OperationId, WriteTimeout, LastError);
  if (Revision) {
    return {.Written = true,
            .Current = policy::ConfigEntry{.Key = Request.Key,
                                           .Revision = *Revision,
                                           .Value = Request.Value,
                                           .Tombstone = false}};
  }
  if (LastError.Kind != store::StoreErrorKind::Conflict) {
    return {};
  }
  // Another writer was first, so its record is the current one.
  const auto Current = Store.Read(Request.Key, WriteTimeout, LastError);
  if (!Current) {
    return {};
  }
  return {.Written = false,
          .Current = policy::ConfigEntry{.Key = Current->Key,
                                         .Revision = Current->ModRevision,
                                         .Value = Current->Value,
                                         .Tombstone = false}};
}

} // namespace

void RolloutRunner::onRecord(const policy::RolloutRecord &Record) {
  Records[Record.Service] = Record;
  Deps.Breakers.setRecord(Record);
  if (policy::hasEnded(Record)) {
    DriveStates.erase(Record.Service);
  }
}

void RolloutRunner::onRemoved(std::string_view Service) {
  if (const auto Found = Records.find(Service); Found != Records.end()) {
    Records.erase(Found);
  }
  if (const auto Found = DriveStates.find(Service);
      Found != DriveStates.end()) {
    DriveStates.erase(Found);
  }
  Deps.Breakers.removeRecord(Service);
}

void RolloutRunner::onRolloutRequest(const policy::RolloutRequest &Requested) {
  RolloutRequests[Requested.Service] = Requested;
}

void RolloutRunner::onRequestWithdrawn(std::string_view Service) {
  const auto Found = RolloutRequests.find(Service);
  if (Found == RolloutRequests.end()) {
    return;
  }
  RequestDueTimes.erase(policy::rolloutIdOf(Found->second));
  RolloutRequests.erase(Found);
}

void RolloutRunner::planRequests(policy::TimePoint WallNow) {
  for (const auto &[Service, Requested] : RolloutRequests) {
    const auto Last = Records.find(Service);
    const auto Planned = policy::planRequest(
        Requested, Last == Records.end() ? nullptr : &Last->second,
        Deps.Membership.members(), WallNow);
    if (!Planned) {
      continue;
    }
    policy::DriveState &State = DriveStates[Service];
    const bool Outdated =
        Last != Records.end() && policy::mayBeOutdated(Requested, Last->second);
    const policy::TimePoint DueAt =
        RequestDueTimes.try_emplace(Planned->Id, WallNow).first->second +
        (Outdated ? policy::RestoreOptions().SettleTime
                  : policy::Duration::zero());
    if (State.Writing ||
        !policy::shouldDrive(Deps.Membership.self().Node,
                             Deps.Membership.watchers(), Planned->Id, DueAt,
                             WallNow, policy::optionsFor(*Planned))) {
      continue;
    }
    State = {};
    State.Writing = write(*Planned);
  }
}

void RolloutRunner::onOwnVerdict(const std::string &Service,
                                 const std::string &RolloutId,
                                 const policy::Verdict &Current) {
  broadcastVerdict(Service, RolloutId, Current, policy::PushRounds);
}

void RolloutRunner::onVerdict(const wire::VerdictRequest &Request) {
  const policy::Verdict Sent = {.Kind = policy::VerdictKind::Bad,
                                .Reason = Request.reason()};
  if (Deps.Breakers.join(Request.service(), Request.move(), Sent) &&
      Request.rounds() > 0) {
    broadcastVerdict(Request.service(), Request.move(), Sent,
                     std::min(Request.rounds(), policy::PushRounds) - 1);
  }
}

void RolloutRunner::onStatsReport(const wire::EvidenceRequest &Request) {
  if (const auto Report = toReport(Request)) {
    addReport(Request.service(), *Report, wallNow());
  }
}

void RolloutRunner::tick(policy::TimePoint SteadyNow,
                         policy::TimePoint WallNow) {
  Deps.Breakers.refresh(WallNow);
  if (SteadyNow >= NextReport) {
    NextReport = SteadyNow + ReportPeriod;
    sendReports(WallNow);
  }
  if (Deps.Store == nullptr || !Deps.Membership.isWatcher()) {
    return;
  }
  planRequests(WallNow);
  for (const auto &[Service, Record] : Records) {
    const bool Lost = policy::isLost(Record, storeEpoch());
    if (!policy::hasEnded(Record) || Lost) {
      policy::RolloutRecord Driven = Record;
      Driven.Stored = !Lost;
      drive(Driven, WallNow);
    }
  }
}

std::uint64_t RolloutRunner::storeEpoch() const {
  return policy::epochOf(Deps.Config.table().HighestRevision);
}

void RolloutRunner::sendReports(policy::TimePoint WallNow) {
  const policy::Member &Self = Deps.Membership.self();
  for (const auto &[Service, Report] :
       Deps.Breakers.takeReports(Self.Node, Self.Run)) {
    for (const policy::Member &Collector :
         policy::collectorsOf(Deps.Membership.watchers(), Report.RolloutId)) {
      if (Collector.Node == Self.Node) {
        addReport(Service, Report, WallNow);
        continue;
      }
      wire::ControlBody Body;
      *Body.mutable_evidence() = toRequest(Service, Report);
      Deps.Client.call(endpointOf(Collector), std::move(Body),
                       [](const std::optional<wire::ControlBody> &) {});
    }
  }
}

void RolloutRunner::addReport(const std::string &Service,
                              const policy::StatsReport &Report,
                              policy::TimePoint WallNow) {
  const auto Record = Records.find(Service);
  if (Record == Records.end() || policy::hasEnded(Record->second)) {
    return;
  }
  policy::RolloutStats &Stats = DriveStates[Service].Stats;
  if (policy::addReport(Stats, Record->second, Report, WallNow)) {
    Deps.Breakers.join(Service, Record->second.Id, Stats.Current);
    broadcastVerdict(Service, Record->second.Id, Stats.Current,
                     policy::PushRounds);
  }
}

void RolloutRunner::drive(const policy::RolloutRecord &Record,
                          policy::TimePoint WallNow) {
  policy::DriveState &State = DriveStates[Record.Service];
  const auto Next =
      policy::nextWrite(State, Record, Deps.Breakers.verdict(Record.Service),
                        Deps.Membership.self().Node, Deps.Membership.watchers(),
                        WallNow, policy::optionsFor(Record));
  if (Next && !write(*Next)) {
    policy::onWritten(State, false);
  }
}

bool RolloutRunner::write(const policy::RolloutRecord &Next) {
  const std::string OperationId = operationId(Deps.Membership.self(), ++Writes);
  const store::PutRequest Request = {
      .Key = settings::rolloutKey(Next.Service),
      .Value = settings::formatRollout(
          {.Rollout = Next,
           .OperationId = OperationId,
           .Driver = Deps.Membership.self().Address + ":" +
                     std::to_string(Deps.Membership.self().PeerPort)}),
      .Expected = policy::expectedRevision(Next, storeEpoch())};
  return Deps.Store->submit([this, Request, OperationId,
                             Service = Next.Service](
                                const store::StoreOperations &Store) {
    WriteResult Result = writeRecord(Store, Request, OperationId);
    Deps.Queue.post([this, Service, Result = std::move(Result)] {
      if (Result.Current) {
        Deps.Config.apply(std::span(&*Result.Current, 1),
                          ConfigRunner::Source::Operator, policy::PushRounds);
      }
      onWritten(Service, Result.Written);
    });
  });
}

void RolloutRunner::onWritten(const std::string &Service, bool Written) {
  if (const auto Found = DriveStates.find(Service);
      Found != DriveStates.end()) {
    policy::onWritten(Found->second, Written);
  }
}

void RolloutRunner::broadcastVerdict(const std::string &Service,
                                     const std::string &RolloutId,
                                     const policy::Verdict &Current,
                                     std::uint32_t Rounds) {
  std::vector<policy::Member> Targets = policy::pushTargets(
      Deps.Membership.self(), Deps.Membership.members(),
      {.Origin = Rounds == policy::PushRounds}, Deps.Random);
  for (const policy::Member &Collector :
       policy::collectorsOf(Deps.Membership.watchers(), RolloutId)) {
    Targets.push_back(Collector);
  }
  for (const policy::Member &Target : Targets) {
    wire::ControlBody Body;
    wire::VerdictRequest &Request = *Body.mutable_verdict();
    Request.set_service(Service);
    Request.set_move(RolloutId);
    Request.set_reason(Current.Reason);
    Request.set_rounds(Rounds);
    Deps.Client.call(endpointOf(Target), std::move(Body),
                     [](const std::optional<wire::ControlBody> &) {});
  }
}

} // namespace magnolia::daemon
