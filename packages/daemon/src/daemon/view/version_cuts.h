#ifndef DAEMON_VIEW_VERSION_CUTS_H
#define DAEMON_VIEW_VERSION_CUTS_H

#include <atomic>
#include <cstddef>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace magnolia::daemon {

// Shares that this node gives to versions instead of those in the view: none
// ahead of the fleet-wide verdict, or more for the trial after a failure.
// Written by the evidence hook or the control thread, read by the traffic
// threads before each choice.
class VersionCuts {
public:
  void setShare(std::string_view Service, std::string_view Version,
                double Share);
  void cut(std::string_view Service, std::string_view Version);
  void restore(std::string_view Service, std::string_view Version);

  // Share from 0 to 1, or nothing where the one in the view holds.
  [[nodiscard]] std::optional<double> share(std::string_view Service,
                                            std::string_view Version) const;
  [[nodiscard]] bool isCut(std::string_view Service,
                           std::string_view Version) const;

private:
  // Lets the readers skip the lock while every share is that of the view.
  std::atomic<std::size_t> Count = 0;
  mutable std::mutex Mutex;
  std::map<std::pair<std::string, std::string>, double> Shares;
};

} // namespace magnolia::daemon

#endif
