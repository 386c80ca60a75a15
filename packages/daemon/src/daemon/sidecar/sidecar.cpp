#include "daemon/sidecar/sidecar.h"

#include "daemon/log/log.h"
#include "daemon/net/clock.h"
#include "policy/admission/admit.h"
#include "policy/ledger/run_once.h"

#include <sys/eventfd.h>

#include <algorithm>
#include <utility>

namespace magnolia::daemon {

using policy::ErrorKind;

SlotWait::SlotWait(policy::Ticket Waiting, bool WaitsForColdRate)
    : Id(Waiting), ForColdRate(WaitsForColdRate),
      Wake(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {}

Sidecar::Sidecar(SidecarOptions Opts, LocalBackend &Backend, Metrics &Counts)
    : Options(Opts), Backend(Backend), Counts(Counts),
      Pool(Opts.ResponseLimits, Opts.Memory),
      Ledger(Opts.Run, {.MaxRequests = Opts.LedgerEntries}),
      Cancelled([this] { complete({.NotSent = true}, now()); }) {
  Admitted.Options.AnnouncesCold = dialect().ReportsColdStart;
  Admitted.Shares.Seed = Opts.Run;
  setAdmission(Options);
}

void Sidecar::setAdmission(const SidecarOptions &Opts) {
  Admitted.Options.MaxWaiting = Opts.MaxWaiting;
  Admitted.Options.UsableShare = Opts.UsableShare;
  Admitted.Options.ColdFactor = Opts.ColdFactor;
  Admitted.Options.SlowPercent = Opts.SlowPercent;
  Admitted.Options.RepeatRatio = Opts.RepeatRatio;
  Admitted.Options.RepeatSlack = Opts.RepeatSlack;
}

void Sidecar::reload(const SidecarOptions &Next) {
  const std::lock_guard Lock(Mutex);
  setAdmission(Next);
}

std::optional<policy::Error>
Sidecar::checkBackend(const CallRequest &Request) const {
  const LocalBackendState Own = Backend.state();
  if (!Own.Present || Own.Service != Request.Service) {
    return policy::Error{
        ErrorKind::NoBackendServer,
        "the node has no local backend server for the service"};
  }
  if (!Request.Version.empty() && Own.Version != Request.Version) {
    return policy::Error{ErrorKind::StaleIncarnation,
                         "the backend server runs another version now"};
  }
  if (ZoneOut) {
    return policy::Error{ErrorKind::ZoneOut,
                         "the availability zone is out of service"};
  }
  return std::nullopt;
}

Sidecar::Admission Sidecar::admit(const CallRequest &Request,
                                  policy::TimePoint Now) {
  Counts.count(Counter::SidecarRequests);
  if (auto Refusal = checkBackend(Request)) {
    return *std::move(Refusal);
  }
  const std::lock_guard Lock(Mutex);
  expireWaits(Now);
  const policy::AdmissionDecision Decision = policy::admit(
      Admitted,
      {.Deadline = Request.Deadline,
       .Objective = Request.Objective,
       .Priority = Request.Nested ? NestedCallPriority : Request.Priority,
       .Repeat = Request.Repeat,
       .Nested = Request.Nested,
       .OfRepeat = Request.OfRepeat,
       .HasChoice = Request.HasChoice,
       .Organisation = Request.Nested ? std::string_view()
                                      : std::string_view(Request.Organisation)},
      Now);
  switch (Decision.Action) {
  case policy::AdmissionAction::Run:
    return std::monostate();
  case policy::AdmissionAction::Wait: {
    auto Wait = std::make_shared<SlotWait>(Decision.Id, Decision.ForColdRate);
    Waits.emplace(Decision.Id, Wait);
    if (Decision.ForColdRate) {
      Counts.count(Counter::ColdWaits);
    }
    // The turn of a request in front may have come at this time.
    releaseWaits(Now);
    return Wait;
  }
  case policy::AdmissionAction::Refuse:
    break;
  }
  return policy::Error{Decision.Kind, "refused by the sidecar"};
}

void Sidecar::grant(const std::vector<policy::Ticket> &Ready,
                    policy::TimePoint Now) {
  for (const policy::Ticket Id : Ready) {
    const auto Found = Waits.find(Id);
    if (Found != Waits.end()) {
      Found->second->Granted = true;
      Found->second->GrantedAt = Now;
      eventfd_write(Found->second->Wake.fd(), 1);
      Waits.erase(Found);
    }
  }
}

void Sidecar::releaseWaits(policy::TimePoint Now) {
  grant(policy::release(Admitted, Now), Now);
}

void Sidecar::expireWaits(policy::TimePoint Now) {
  for (const policy::Expiry &Expired : policy::expire(Admitted, Now)) {
    const auto Found = Waits.find(Expired.Id);
    if (Found != Waits.end()) {
      Found->second->Refusal = Expired.Kind;
      eventfd_write(Found->second->Wake.fd(), 1);
      Waits.erase(Found);
    }
  }
}

Sidecar::WaitStatus Sidecar::checkWait(SlotWait &Wait, policy::TimePoint Now,
                                       ErrorKind &Refusal) {
  const std::lock_guard Lock(Mutex);
  expireWaits(Now);
  releaseWaits(Now);
  if (Wait.Granted) {
    if (Wait.ForColdRate) {
      Counts.count(Counter::ColdWaitsStarted);
    }
    return WaitStatus::Granted;
  }
  if (Wait.Refusal) {
    Refusal = *Wait.Refusal;
    return WaitStatus::Refused;
  }
  return WaitStatus::Waiting;
}

policy::TimePoint Sidecar::nextWaitCheck(policy::TimePoint Now) const {
  const std::lock_guard Lock(Mutex);
  return std::min(policy::nextExpiry(Admitted),
                  policy::nextStart(Admitted, Now));
}

void Sidecar::abandon(SlotWait &Wait, policy::TimePoint Now) {
  const std::lock_guard Lock(Mutex);
  if (Wait.Granted) {
    grant(policy::complete(
              Admitted, {.NotSent = true, .NeverStarted = Wait.GrantedAt}, Now),
          Now);
    return;
  }
  policy::abandon(Admitted, Wait.Id);
  Waits.erase(Wait.Id);
}

void Sidecar::complete(const policy::Completion &Ended, policy::TimePoint Now) {
  const std::lock_guard Lock(Mutex);
  grant(policy::complete(Admitted, Ended, Now), Now);
}

std::optional<ErrorKind> Sidecar::beginRun(const CallRequest &Request,
                                           policy::TimePoint Now) {
  if (Request.Idempotent) {
    return std::nullopt;
  }
  const std::lock_guard Lock(Mutex);
  const policy::LedgerDecision Run =
      policy::begin(Ledger, Request.Id, Request.SidecarRun, Now);
  if (Run != policy::LedgerDecision::Run) {
    return policy::errorOf(Run);
  }
  if (Request.IdempotencyKey.empty()) {
    return std::nullopt;
  }
  const policy::KeyDecision Key = policy::claimKey(
      Ledger, Request.Service, Request.IdempotencyKey, Request.Id, Now);
  if (Key == policy::KeyDecision::Claimed) {
    return std::nullopt;
  }
  policy::finish(Ledger, Request.Id, false);
  return policy::errorOf(Key);
}

void Sidecar::finishRun(const CallRequest &Request, bool Ran) {
  if (Request.Idempotent) {
    return;
  }
  const std::lock_guard Lock(Mutex);
  policy::finish(Ledger, Request.Id, Ran);
  if (!Request.IdempotencyKey.empty()) {
    policy::finishKey(Ledger, Request.Service, Request.IdempotencyKey,
                      Request.Id, Ran);
  }
}

bool Sidecar::fence(const policy::RequestId &Id, policy::TimePoint Now) {
  const std::lock_guard Lock(Mutex);
  return policy::fence(Ledger, Id, Now) == policy::FenceDecision::NeverRun;
}

void Sidecar::onBackendIncarnation(policy::Incarnation Run,
                                   policy::TimePoint Now) {
  {
    const std::lock_guard Lock(Mutex);
    if (Run == 0 || Run == Admitted.Backend) {
      return;
    }
    const bool Restart = Admitted.Backend != 0;
    policy::onBackendIncarnation(Admitted, Run, Now);
    if (!Restart) {
      return;
    }
  }
  Counts.count(Counter::BackendRestarts);
  log(LogLevel::Warning, "the backend server restarted", {{"run", Run}});
  Backend.setIncarnation(Run);
}

void Sidecar::onConnectFailure(policy::TimePoint Now) {
  Counts.count(Counter::BackendConnectFailures);
  Pool.closeAll();
  const std::lock_guard Lock(Mutex);
  policy::onConnectFailure(Admitted, Now);
}

void Sidecar::onBackendDraining() {
  {
    const std::lock_guard Lock(Mutex);
    policy::drain(Admitted);
  }
  Backend.setDraining(true);
}

void Sidecar::onWorkTime(std::uint32_t Percent, policy::TimePoint Now) {
  const std::lock_guard Lock(Mutex);
  policy::onWorkTime(Admitted, Percent, Now);
}

void Sidecar::onColdLeft(policy::Duration Left, policy::TimePoint Now) {
  const std::lock_guard Lock(Mutex);
  policy::onColdLeft(Admitted, Left, Now);
  // A server that has become warm has no turns to wait for.
  releaseWaits(Now);
}

void Sidecar::setCapacity(std::uint32_t Connections, double ColdPerSecond) {
  const std::lock_guard Lock(Mutex);
  if (Connections != 0) {
    Admitted.Options.Connections = Connections;
  }
  if (ColdPerSecond > 0) {
    Admitted.Options.ColdPerSecond = ColdPerSecond;
  }
}

void Sidecar::setOrganisations(
    std::shared_ptr<const OrganisationIndex> InEffect) {
  const std::lock_guard Lock(Mutex);
  Organisations = std::move(InEffect);
}

std::shared_ptr<const settings::OrganisationRecord>
Sidecar::organisation(std::string_view Name) const {
  const std::lock_guard Lock(Mutex);
  if (!Organisations) {
    return nullptr;
  }
  const auto Found = Organisations->Organisations.find(Name);
  return Found == Organisations->Organisations.end() ? nullptr : Found->second;
}

void Sidecar::onOtherInstance() {
  log(LogLevel::Warning, "another backend server has the address");
  Pool.closeAll();
  Backend.setPresent(false);
}

void Sidecar::apply(const LocalBackendState &State, policy::TimePoint Now) {
  Pool.setAddress(State.Address, State.Port);
  const std::lock_guard Lock(Mutex);
  Admitted.Options.Slots = State.Slots;
  if (State.Connections != 0) {
    Admitted.Options.Connections = State.Connections;
  }
  Admitted.Draining = State.Draining;
  policy::onBackendIncarnation(Admitted, State.Run, Now);
  releaseWaits(Now);
}

void Sidecar::beginStop(policy::TimePoint End) {
  const std::lock_guard Lock(Mutex);
  policy::beginStop(Admitted, End);
}

void Sidecar::setWorkloadAware(bool On) {
  // Half of the budget stays for other requests, so that a service that mostly
  // receives nested calls does not starve them.
  constexpr double NestedRepeatShare = 0.5;
  Running.setCounting(On);
  const std::lock_guard Lock(Mutex);
  Admitted.Options.NestedRepeatShare = On ? NestedRepeatShare : 0;
  Admitted.Options.PacesCold = On;
}

void Sidecar::setZoneOut(bool Out) { ZoneOut = Out; }

void Sidecar::setRun(policy::Incarnation Run) {
  const std::lock_guard Lock(Mutex);
  Ledger.Self = Run;
}

void Sidecar::drainNode() {
  const std::lock_guard Lock(Mutex);
  policy::drainNode(Admitted);
}

void Sidecar::holdSlot(std::unique_ptr<BackendConnection> Connection,
                       policy::TimePoint Until) {
  Cancelled.add(std::move(Connection), Until);
}

policy::LoadReport Sidecar::load() const {
  const std::lock_guard Lock(Mutex);
  policy::LoadReport Report = policy::loadReport(Admitted);
  Report.ColdStart |= policy::isCold(Admitted, now());
  return Report;
}

policy::AdmissionState Sidecar::admissionState() const {
  const std::lock_guard Lock(Mutex);
  return Admitted;
}

LedgerCounts Sidecar::ledgerCounts() const {
  const std::lock_guard Lock(Mutex);
  return {.Requests = Ledger.Requests.size(),
          .Keys = Ledger.Keys.size(),
          .Duplicates = Ledger.Duplicates,
          .Fenced = Ledger.FencedRequests,
          .Refused = Ledger.RequestsRefused + Ledger.FencesRefused +
                     Ledger.KeysRefused,
          .Stale = Ledger.Stale};
}

} // namespace magnolia::daemon
