#include "daemon/entry/prober.h"

#include "daemon/log/guarded.h"
#include "daemon/net/clock.h"
#include "policy/probe/next_probe.h"
#include "policy/route/feedback.h"

#include <algorithm>
#include <chrono>
#include <optional>

namespace magnolia::daemon {

namespace {

constexpr policy::Duration ProbeInterval = std::chrono::milliseconds(20);
// Longest time between two checks. Requests add to the budget in the meantime.
constexpr policy::Duration LongestPause = std::chrono::milliseconds(100);
constexpr policy::Duration IdleCloseInterval = std::chrono::seconds(1);
constexpr policy::Duration ProbeTimeout = std::chrono::milliseconds(100);

} // namespace

Prober::Prober(Entry &Owner) : Owner(Owner), Thread([this] { run(); }) {}

Prober::~Prober() {
  {
    const std::lock_guard Lock(Mutex);
    Stopping = true;
  }
  Wake.notify_all();
  Thread.join();
}

void Prober::run() {
  policy::TimePoint NextIdleClose{};
  policy::Duration Pause = ProbeInterval;
  std::unique_lock Lock(Mutex);
  while (!Wake.wait_for(Lock, Pause, [this] { return Stopping; })) {
    Lock.unlock();
    Pause = LongestPause;
    (void)runGuarded("probes", [&] {
      Pause = std::clamp(probeServices(), ProbeInterval, LongestPause);
    });
    const policy::TimePoint Now = now();
    if (Now >= NextIdleClose) {
      Owner.Use.Peers.closeIdle(Now);
      NextIdleClose = Now + IdleCloseInterval;
    }
    Lock.lock();
  }
}

policy::Duration Prober::probeServices() {
  policy::Duration Pause = LongestPause;
  for (const auto &[Name, Runtime] : Owner.Services.all()) {
    probeService(*Runtime);
    const std::lock_guard Lock(Runtime->Mutex);
    Pause = std::min(Pause, policy::untilNextProbe(Runtime->Probes, now()));
  }
  return Pause;
}

void Prober::probeService(ServiceRuntime &Runtime) {
  std::optional<policy::NodeId> Node;
  PeerAddress Peer;
  {
    const std::lock_guard Lock(Runtime.Mutex);
    Node =
        policy::nextProbe(Runtime.Probes, Runtime.Route, now(), threadEngine());
    if (!Node) {
      return;
    }
    const BackendEndpoint &Target = Runtime.Endpoints.at(*Node);
    Peer = {.Node = *Node, .Address = Target.Address, .Port = Target.PeerPort};
  }
  Metrics &Counts = Owner.Use.Counts;
  Counts.count(Counter::Probes);
  const std::optional<policy::LoadReport> Load =
      *Node == Owner.Options.Node
          ? std::optional(Owner.Use.Own.load())
          : Owner.Use.Peers.probe(Peer, now() + ProbeTimeout);
  if (!Load) {
    Counts.count(Counter::ProbesFailed);
    return;
  }
  const std::lock_guard Lock(Runtime.Mutex);
  policy::onReport(Runtime.Route, *Node, *Load, now());
}

} // namespace magnolia::daemon
