#ifndef DAEMON_USAGE_RUN_COUNTER_H
#define DAEMON_USAGE_RUN_COUNTER_H

#include "policy/usage/run_counts.h"
#include "policy/usage/usage_message.h"
#include "policy/usage/usage_options.h"

#include <mutex>
#include <optional>
#include <string_view>

namespace magnolia::daemon {

// Counts the runs that begin at the local backend server, by organisation and
// window. The traffic threads count; the control thread sends the counts.
class RunCounter {
public:
  explicit RunCounter(const policy::UsageOptions &Times) : Times(Times) {}

  // Returns the window in which the run counts; see policy::countRun.
  std::optional<policy::UsageWindow> count(std::string_view Organisation);
  void uncount(std::string_view Organisation,
               std::optional<policy::UsageWindow> Window);

  void onNewIncarnation();
  void setTrueTime(policy::TimePoint True, policy::TimePoint Now);
  [[nodiscard]] policy::UsageMessage messageFor(policy::NodeId Collector,
                                                policy::TimePoint Now);
  void onCollected(policy::NodeId Collector, policy::Incarnation Run,
                   policy::UsageWindow Closed);
  [[nodiscard]] std::uint64_t dropped() const;

private:
  const policy::UsageOptions Times;
  mutable std::mutex Mutex;
  policy::RunCounts State;
};

} // namespace magnolia::daemon

#endif
