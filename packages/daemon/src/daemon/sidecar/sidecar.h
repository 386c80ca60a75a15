#ifndef DAEMON_SIDECAR_SIDECAR_H
#define DAEMON_SIDECAR_SIDECAR_H

#include "daemon/dialect/dialect.h"
#include "daemon/metrics/metrics.h"
#include "daemon/net/unique_fd.h"
#include "daemon/peer/call.h"
#include "daemon/sidecar/backend_pool.h"
#include "daemon/sidecar/lingering.h"
#include "daemon/sidecar/running_requests.h"
#include "daemon/view/local_backend.h"
#include "policy/admission/admission_state.h"
#include "policy/core/error.h"
#include "policy/ledger/run_ledger.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace magnolia::policy {
struct Completion;
} // namespace magnolia::policy

namespace magnolia::daemon {

struct SidecarOptions {
  policy::Incarnation Run = 0;
  // Null: the native one.
  const Dialect *Speaks = nullptr;
  HttpLimits AnswerLimits;
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

// Sizes and counters of the record of runs.
struct LedgerCounts {
  std::size_t Requests = 0;
  std::size_t Keys = 0;
  std::uint64_t Duplicates = 0;
  std::uint64_t Fenced = 0;
  std::uint64_t Refused = 0;
  std::uint64_t Stale = 0;
};

// Place of one request in the queue for a slot; the descriptor becomes
// readable when the wait is over.
struct SlotWait {
  explicit SlotWait(policy::Ticket Waiting);

  policy::Ticket Id;
  UniqueFd Wake;
  // Guarded by the sidecar's mutex. Not granted and no refusal: still waits.
  bool Granted = false;
  std::optional<policy::ErrorKind> Refusal;
};

// Admission control and the record of runs for the own backend server, shared
// by all threads that bring requests.
class Sidecar {
public:
  Sidecar(SidecarOptions Options, LocalBackend &Backend, Metrics &Counts);

  // The request holds a slot, waits for one, or is refused.
  using Admission =
      std::variant<std::monostate, std::shared_ptr<SlotWait>, policy::Error>;
  [[nodiscard]] Admission admit(const CallRequest &Request,
                                policy::TimePoint Now);

  enum class WaitStatus : std::uint8_t { Waiting, Granted, Refused };
  // Refuses the requests that have waited too long, this one among them.
  [[nodiscard]] WaitStatus checkWait(SlotWait &Wait, policy::TimePoint Now,
                                     policy::ErrorKind &Refusal);
  [[nodiscard]] policy::TimePoint nextExpiry() const;
  // Leaves the queue, or frees the slot that was granted meanwhile.
  void abandon(SlotWait &Wait, policy::TimePoint Now);

  // Frees the slot of a request.
  void complete(const policy::Completion &Ended, policy::TimePoint Now);

  // Records that the request is about to be sent to the backend server; an
  // error forbids it.
  [[nodiscard]] std::optional<policy::ErrorKind>
  beginRun(const CallRequest &Request, policy::TimePoint Now);
  // Ran is false only where nothing was sent.
  void finishRun(const CallRequest &Request, bool Ran);
  // True where the request has not run and never will.
  [[nodiscard]] bool fence(const policy::RequestId &Id, policy::TimePoint Now);

  void onBackendIncarnation(policy::Incarnation Run, policy::TimePoint Now);
  void onConnectFailure(policy::TimePoint Now);
  void onBackendDraining();
  void onColdLeft(policy::Duration Left, policy::TimePoint Now);
  void onWorkTime(std::uint32_t Percent, policy::TimePoint Now);
  // Takes over what the configuration says a backend server of the service
  // bears; 0 leaves a value as it is.
  void setCapacity(std::uint32_t Connections, double ColdPerSecond);

  // Takes over what the backend server or the settings announced.
  void apply(const LocalBackendState &State, policy::TimePoint Now);
  // Takes over the limits on admission; the rest holds from the start on.
  void reload(const SidecarOptions &Next);
  // Refuses new requests; those that wait or run go on.
  void drain();
  // Refuses new requests while the zone of this node is out of service.
  void setZoneOut(bool Out);
  // Takes over the incarnation under which the fleet knows this node. It is
  // higher than the one from the clock where an earlier run had a clock that
  // was ahead.
  void setRun(policy::Incarnation Run);

  // Holds a slot until the backend server has noticed the cancellation of the
  // request on this connection.
  void linger(std::unique_ptr<BackendConnection> Connection,
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
  // Instance of the backend server, or empty.
  [[nodiscard]] std::string instance() const {
    return Backend.state().Instance;
  }
  // The backend server at the address is another one: no request goes there
  // before it has announced itself.
  void onOtherInstance();

private:
  // Both need the mutex.
  void grant(const std::vector<policy::Ticket> &Ready);
  void expireWaits(policy::TimePoint Now);
  void setAdmission(const SidecarOptions &Given);

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
  Lingering Cancelled;
};

} // namespace magnolia::daemon

#endif
