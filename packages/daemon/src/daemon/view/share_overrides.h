#ifndef DAEMON_VIEW_SHARE_OVERRIDES_H
#define DAEMON_VIEW_SHARE_OVERRIDES_H

#include <atomic>
#include <cstddef>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace magnolia::daemon {

// Traffic shares of versions on this node that override those in the view: zero
// while the circuit breaker of a rollout is open, which precedes the fleet-wide
// verdict, or a higher share in its half-open period. The hook of the recorder
// and the control thread write them; the traffic threads read them before each
// routing decision.
class ShareOverrides {
public:
  void setShare(std::string_view Service, std::string_view Version,
                double Share);
  void block(std::string_view Service, std::string_view Version);
  void restore(std::string_view Service, std::string_view Version);

  // Returns the share from 0 to 1, or nothing if that of the view applies.
  [[nodiscard]] std::optional<double> share(std::string_view Service,
                                            std::string_view Version) const;
  [[nodiscard]] bool isBlocked(std::string_view Service,
                               std::string_view Version) const;

private:
  // Lets the readers skip the lock while there is no override.
  std::atomic<std::size_t> Count = 0;
  mutable std::mutex Mutex;
  std::map<std::pair<std::string, std::string>, double> Shares;
};

} // namespace magnolia::daemon

#endif
