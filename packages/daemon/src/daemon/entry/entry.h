#ifndef DAEMON_ENTRY_ENTRY_H
#define DAEMON_ENTRY_ENTRY_H

#include "daemon/dialect/dialect.h"
#include "daemon/entry/route_gate.h"
#include "daemon/entry/service_runtime.h"
#include "daemon/entry/start_waits.h"
#include "daemon/metrics/metrics.h"
#include "daemon/peer/peer_exchange.h"
#include "daemon/peer/peer_pool.h"
#include "daemon/sidecar/sidecar.h"
#include "daemon/view/response_recorder.h"
#include "daemon/view/share_overrides.h"
#include "daemon/view/view_holder.h"
#include "policy/hedge/hedge_options.h"
#include "policy/overload/late_request.h"
#include "policy/overload/workload_aware.h"

#include <atomic>
#include <cstdint>
#include <optional>
#include <string>

namespace magnolia::daemon {

struct EntryOptions {
  policy::NodeId Node = 0;
  policy::Incarnation Run = 0;
  // Time at which the node started; the default is long ago, so that no request
  // waits for backend servers to become known.
  policy::TimePoint Start{};
  policy::Duration Spin{};
  policy::Duration Deadline{};
  policy::Duration DeadlineMaximum{};
  policy::Duration FenceTimeout{};
  std::uint32_t Hops = 17;
  // Null selects the native dialect.
  const Dialect *Speaks = nullptr;
  // Addresses of this node for peers and for callers.
  std::string Address;
  std::string CallerAddress;
  // Service of the local backend server, as named in the settings.
  std::string LocalService;
  // Whether the entry node admits requests by the losses of nested calls.
  policy::WorkloadSetting WorkloadAware = policy::WorkloadSetting::Off;
  // True if requests are also rejected for the losses of nested calls.
  bool ShedByLosses = false;
  ServiceTable::Options Services;
  policy::HedgeOptions Hedge;
  ExchangeOptions Exchange;
};

// State and components that all calls of an entry node share.
class Entry {
public:
  struct Parts {
    ViewHolder &Views;
    ShareOverrides &Overrides;
    ResponseRecorder &Responses;
    PeerPool &Peers;
    Sidecar &Own;
    Metrics &Counts;
  };

  Entry(const EntryOptions &Opts, const Parts &Used)
      : Options(Opts), Use(Used), Services(Opts.Services), Starting(Opts.Start),
        Hedge(Opts.Hedge) {}

  [[nodiscard]] policy::RequestId nextId() {
    return {.Origin = Options.Node, .Run = Options.Run, .Sequence = ++Sequence};
  }

  [[nodiscard]] const Dialect &dialect() const {
    return Options.Speaks ? *Options.Speaks : nativeDialect();
  }

  // Makes new requests end before the node does.
  void beginStop(const policy::StopWindow &Given) {
    Stop = Given;
    Stopping = true;
  }
  // Returns the course of the stop, or nothing if the node is not stopping.
  [[nodiscard]] std::optional<policy::StopWindow> stop() const {
    return Stopping ? std::optional(Stop) : std::nullopt;
  }

  // Options of hedged requests, which may change while the node runs.
  [[nodiscard]] policy::HedgeOptions hedgeOptions() const { return Hedge; }
  void setHedgeOptions(const policy::HedgeOptions &Next) { Hedge = Next; }

  const EntryOptions Options;
  const Parts Use;
  ServiceTable Services;
  RouteGate Gate;
  StartWaits Starting;

private:
  static_assert(std::atomic<policy::HedgeOptions>::is_always_lock_free);
  std::atomic<policy::HedgeOptions> Hedge;
  std::atomic<std::uint64_t> Sequence = 0;
  // Set once, before Stopping.
  policy::StopWindow Stop;
  std::atomic<bool> Stopping = false;
};

// Returns the random engine of the calling thread.
[[nodiscard]] policy::RandomEngine &threadEngine();

} // namespace magnolia::daemon

#endif
