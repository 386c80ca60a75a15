#ifndef DAEMON_SIDECAR_SIDECAR_H
#define DAEMON_SIDECAR_SIDECAR_H

#include "daemon/dialect/dialect.h"
#include "daemon/metrics/metrics.h"
#include "daemon/net/unique_fd.h"
#include "daemon/peer/call.h"
#include "daemon/sidecar/backend_pool.h"
#include "daemon/sidecar/cancelled_connections.h"
#include "daemon/sidecar/running_requests.h"
#include "daemon/view/local_backend.h"
#include "daemon/view/organisation_index.h"
#include "policy/admission/admission_state.h"
#include "policy/core/error.h"
#include "policy/ledger/run_ledger.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

namespace magnolia::policy {
struct Completion;
} // namespace magnolia::policy

namespace magnolia::daemon {

class RunCounter;

struct SidecarOptions {
  policy::Incarnation Run = 0;
  // Null selects the native dialect.
  const Dialect *Speaks = nullptr;
  HttpLimits ResponseLimits;
  // Memory for the bodies of responses; null for no limit on their sum.
  BodyMemory *Memory = nullptr;
  // Counts the runs for the usage report; null for no report.
  RunCounter *Runs = nullptr;
  policy::Duration ConnectTimeout{};
  std::uint32_t MaxWaiting = 16;
  // See policy::AdmissionOptions.
  double UsableShare = 1.0;
  double ColdFactor = 1.0;
  std::uint32_t SlowPercent = 0;
  double RepeatRatio = 0;
  double RepeatSlack = 0;
  std::size_t LedgerEntries = 262'144;
};

// Sizes and counters of the run ledger.
struct LedgerCounts {
  std::size_t Requests = 0;
  std::size_t Keys = 0;
  std::uint64_t Duplicates = 0;
  std::uint64_t Fenced = 0;
  std::uint64_t Refused = 0;
  std::uint64_t Stale = 0;
};

// Entry of one request in the queue for a slot. The descriptor becomes readable
// when the wait ends.
struct SlotWait {
  SlotWait(policy::Ticket Waiting, bool WaitsForColdRate);

  policy::Ticket Id;
  // True if it waits for the rate of a cold server and not for a slot.
  bool ForColdRate;
  UniqueFd Wake;
  // Guarded by the sidecar's mutex. The request still waits if it is neither
  // granted nor refused.
  bool Granted = false;
  policy::TimePoint GrantedAt{};
  std::optional<policy::ErrorKind> Refusal;
};

// Admission control and run ledger of the local backend server, shared by all
// threads that handle requests.
class Sidecar {
public:
  Sidecar(SidecarOptions Options, LocalBackend &Backend, Metrics &Counts);

  // Result of admission: the request holds a slot, waits for one, or is
  // refused.
  using Admission =
      std::variant<std::monostate, std::shared_ptr<SlotWait>, policy::Error>;
  [[nodiscard]] Admission admit(const CallRequest &Request,
                                policy::TimePoint Now);

  // Returns an error if this sidecar cannot run the request at all: its backend
  // server is missing or another one, or its zone is out of service.
  [[nodiscard]] std::optional<policy::Error>
  checkBackend(const CallRequest &Request) const;

  enum class WaitStatus : std::uint8_t { Waiting, Granted, Refused };
  // Refuses all requests that have waited too long, starts those whose turn has
  // come and returns the status of this one.
  [[nodiscard]] WaitStatus checkWait(SlotWait &Wait, policy::TimePoint Now,
                                     policy::ErrorKind &Refusal);
  // Returns the time of the next call of checkWait, if nothing else happens
  // before.
  [[nodiscard]] policy::TimePoint nextWaitCheck(policy::TimePoint Now) const;
  // Leaves the queue, or frees the slot if it has been granted already.
  void abandon(SlotWait &Wait, policy::TimePoint Now);

  // Frees the slot of a request.
  void complete(const policy::Completion &Ended, policy::TimePoint Now);

  // Records that the request is about to be sent to the backend server. Returns
  // an error if it must not be sent.
  [[nodiscard]] std::optional<policy::ErrorKind>
  beginRun(const CallRequest &Request, policy::TimePoint Now);
  // Ran is false only if nothing was sent, or if the backend server stated that
  // it did not run the request.
  void finishRun(const CallRequest &Request, bool Ran);
  // Returns true if the request has not run and never will.
  [[nodiscard]] bool fence(const policy::RequestId &Id, policy::TimePoint Now);

  void onBackendIncarnation(policy::Incarnation Run, policy::TimePoint Now);
  void onConnectFailure(policy::TimePoint Now);
  void onBackendDraining();
  void onColdLeft(policy::Duration Left, policy::TimePoint Now);
  void onWorkTime(std::uint32_t Percent, policy::TimePoint Now);
  // Applies the capacity that the configuration states for backend servers of
  // the service; 0 leaves a value unchanged.
  void setCapacity(std::uint32_t Connections, double ColdPerSecond);

  // Applies the organisations of the routing table; null if there is no table.
  void setOrganisations(std::shared_ptr<const OrganisationIndex> InEffect);
  // Returns the organisation, or null if the routing table does not have it.
  [[nodiscard]] std::shared_ptr<const settings::OrganisationRecord>
  organisation(std::string_view Name) const;

  // Applies the state from an announcement or the settings.
  void apply(const LocalBackendState &State, policy::TimePoint Now);
  // Applies changed admission limits. Other options stay as at the start.
  void reload(const SidecarOptions &Next);
  // Refuses new requests until the end of the process, whatever the backend
  // server reports; waiting and running ones continue.
  void drainNode();
  // Refuses new requests that a stop of the node at this time would cut.
  void beginStop(policy::TimePoint End);
  // Switches admission by workload on or off.
  void setWorkloadAware(bool On);
  // Refuses new requests while the zone of this node is out of service.
  void setZoneOut(bool Out);
  // Applies the incarnation by which the cluster knows this node. It is higher
  // than the one from the clock if the clock was ahead in an earlier
  // incarnation.
  void setRun(policy::Incarnation Run);

  // Holds the slot of a cancelled request until the backend server responds or
  // closes this connection, at the latest until the given time.
  void holdSlot(std::unique_ptr<BackendConnection> Connection,
                policy::TimePoint Until);

  [[nodiscard]] policy::LoadReport load() const;
  [[nodiscard]] policy::AdmissionState admissionState() const;
  [[nodiscard]] LedgerCounts ledgerCounts() const;
  [[nodiscard]] BackendPool &pool() { return Pool; }
  [[nodiscard]] Metrics &metrics() { return Counts; }
  [[nodiscard]] RunningRequests &running() { return Running; }
  [[nodiscard]] const SidecarOptions &options() const { return Options; }
  [[nodiscard]] const Dialect &dialect() const {
    return Options.Speaks ? *Options.Speaks : nativeDialect();
  }
  // Returns the instance of the backend server, or an empty string.
  [[nodiscard]] std::string instance() const {
    return Backend.state().Instance;
  }
  // Handles a different backend server at the address. It receives no requests
  // until it has announced itself.
  void onOtherInstance();

private:
  // The caller must hold the mutex for grant, releaseWaits and expireWaits.
  void grant(const std::vector<policy::Ticket> &Ready, policy::TimePoint Now);
  void releaseWaits(policy::TimePoint Now);
  void expireWaits(policy::TimePoint Now);
  void setAdmission(const SidecarOptions &Opts);

  const SidecarOptions Options;
  LocalBackend &Backend;
  Metrics &Counts;
  BackendPool Pool;
  RunningRequests Running;
  std::atomic<bool> ZoneOut = false;
  mutable std::mutex Mutex;
  policy::AdmissionState Admitted;
  policy::RunLedger Ledger;
  std::unordered_map<policy::Ticket, std::shared_ptr<SlotWait>> Waits;
  std::shared_ptr<const OrganisationIndex> Organisations;
  CancelledConnections Cancelled;
};

} // namespace magnolia::daemon

#endif
