#ifndef DAEMON_ENTRY_ENTRY_H
#define DAEMON_ENTRY_ENTRY_H

#include "daemon/dialect/dialect.h"
#include "daemon/entry/service_runtime.h"
#include "daemon/metrics/metrics.h"
#include "daemon/peer/peer_exchange.h"
#include "daemon/peer/peer_pool.h"
#include "daemon/sidecar/sidecar.h"
#include "daemon/view/response_recorder.h"
#include "daemon/view/share_overrides.h"
#include "daemon/view/view_holder.h"

#include <atomic>
#include <cstdint>
#include <optional>
#include <string>

namespace magnolia::daemon {

struct EntryOptions {
  policy::NodeId Node = 0;
  policy::Incarnation Run = 0;
  policy::Duration Spin{};
  policy::Duration Deadline{};
  policy::Duration DeadlineMaximum{};
  policy::Duration FenceTimeout{};
  std::uint32_t Hops = 17;
  // Null selects the native dialect.
  const Dialect *Speaks = nullptr;
  // Service of the local backend server, as named in the settings.
  std::string LocalService;
  ServiceTable::Options Services;
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
      : Options(Opts), Use(Used), Services(Opts.Services) {}

  [[nodiscard]] policy::RequestId nextId() {
    return {.Origin = Options.Node, .Run = Options.Run, .Sequence = ++Sequence};
  }

  [[nodiscard]] const Dialect &dialect() const {
    return Options.Speaks ? *Options.Speaks : nativeDialect();
  }

  // Makes new requests end before the node does.
  void beginStop(policy::TimePoint End) {
    StopEnd = End.time_since_epoch().count();
  }
  // Returns the time at which a stopping node ends.
  [[nodiscard]] std::optional<policy::TimePoint> stopEnd() const {
    const policy::Duration::rep End = StopEnd;
    return End == 0 ? std::nullopt
                    : std::optional(policy::TimePoint(policy::Duration(End)));
  }

  const EntryOptions Options;
  const Parts Use;
  ServiceTable Services;

private:
  std::atomic<std::uint64_t> Sequence = 0;
  // Time since the epoch of the clock; 0 until the node stops.
  std::atomic<policy::Duration::rep> StopEnd = 0;
};

// Returns the random engine of the calling thread.
[[nodiscard]] policy::RandomEngine &threadEngine();

} // namespace magnolia::daemon

#endif
