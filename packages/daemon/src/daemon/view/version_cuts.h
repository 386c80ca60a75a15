#ifndef DAEMON_VIEW_VERSION_CUTS_H
#define DAEMON_VIEW_VERSION_CUTS_H

#include <atomic>
#include <cstddef>
#include <mutex>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace magnolia::daemon {

// Versions that this node sends no traffic to, ahead of the fleet-wide
// verdict. Written by the evidence hook or the control thread, read by the
// traffic threads before each choice.
class VersionCuts {
public:
  void cut(std::string_view Service, std::string_view Version);
  void restore(std::string_view Service, std::string_view Version);

  [[nodiscard]] bool isCut(std::string_view Service,
                           std::string_view Version) const;

private:
  // Lets the readers skip the lock while nothing is cut.
  std::atomic<std::size_t> Count = 0;
  mutable std::mutex Mutex;
  std::set<std::pair<std::string, std::string>> Cuts;
};

} // namespace magnolia::daemon

#endif
