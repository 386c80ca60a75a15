#include "daemon/usage/run_counter.h"

#include "daemon/usage/boot_clock.h"
#include "policy/usage/count_runs.h"

namespace magnolia::daemon {

std::optional<policy::UsageWindow>
RunCounter::count(std::string_view Organisation) {
  if (Organisation.empty()) {
    return std::nullopt;
  }
  const policy::TimePoint Now = bootNow();
  const std::lock_guard Lock(Mutex);
  return policy::countRun(State, Organisation, Now, Times);
}

void RunCounter::uncount(std::string_view Organisation,
                         std::optional<policy::UsageWindow> Window) {
  const std::lock_guard Lock(Mutex);
  policy::uncountRun(State, Organisation, Window);
}

void RunCounter::onNewIncarnation() {
  const std::lock_guard Lock(Mutex);
  policy::onNewIncarnation(State);
}

void RunCounter::setTrueTime(policy::TimePoint True, policy::TimePoint Now) {
  const std::lock_guard Lock(Mutex);
  policy::setTrueTime(State, True, Now, Times);
}

policy::UsageMessage RunCounter::messageFor(policy::NodeId Collector,
                                            policy::TimePoint Now) {
  const std::lock_guard Lock(Mutex);
  return policy::messageFor(State, Collector, Now, Times);
}

void RunCounter::onCollected(policy::NodeId Collector, policy::Incarnation Run,
                             policy::UsageWindow Closed) {
  const std::lock_guard Lock(Mutex);
  policy::onCollected(State, Collector, Run, Closed);
}

std::uint64_t RunCounter::dropped() const {
  const std::lock_guard Lock(Mutex);
  return State.Dropped;
}

} // namespace magnolia::daemon
