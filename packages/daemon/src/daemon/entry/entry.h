#ifndef DAEMON_ENTRY_ENTRY_H
#define DAEMON_ENTRY_ENTRY_H

#include "daemon/dialect/dialect.h"
#include "daemon/entry/service_runtime.h"
#include "daemon/metrics/metrics.h"
#include "daemon/peer/peer_exchange.h"
#include "daemon/peer/peer_pool.h"
#include "daemon/sidecar/sidecar.h"
#include "daemon/view/evidence_recorder.h"
#include "daemon/view/version_cuts.h"
#include "daemon/view/view_holder.h"

#include <atomic>
#include <cstdint>

namespace magnolia::daemon {

struct EntryOptions {
  policy::NodeId Node = 0;
  policy::Incarnation Run = 0;
  policy::Duration Spin{};
  policy::Duration Deadline{};
  policy::Duration DeadlineMaximum{};
  policy::Duration FenceTimeout{};
  std::uint32_t Hops = 17;
  // Null: the native one.
  const Dialect *Speaks = nullptr;
  // Service of the backend server beside this node, as settings name it.
  std::string LocalService;
  ServiceTable::Options Services;
  ExchangeOptions Exchange;
};

// What the calls of one entry node share.
class Entry {
public:
  struct Parts {
    ViewHolder &Views;
    VersionCuts &Cuts;
    EvidenceRecorder &Evidence;
    PeerPool &Peers;
    Sidecar &Own;
    Metrics &Counts;
  };

  Entry(const EntryOptions &Given, const Parts &Used)
      : Options(Given), Use(Used), Services(Given.Services) {}

  [[nodiscard]] policy::RequestId nextId() {
    return {.Origin = Options.Node, .Run = Options.Run, .Sequence = ++Sequence};
  }

  [[nodiscard]] const Dialect &dialect() const {
    return Options.Speaks ? *Options.Speaks : nativeDialect();
  }

  const EntryOptions Options;
  const Parts Use;
  ServiceTable Services;

private:
  std::atomic<std::uint64_t> Sequence = 0;
};

// Random engine of this thread.
[[nodiscard]] policy::RandomEngine &threadEngine();

} // namespace magnolia::daemon

#endif
