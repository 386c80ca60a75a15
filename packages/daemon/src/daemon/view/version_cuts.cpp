#include "daemon/view/version_cuts.h"

namespace magnolia::daemon {

void VersionCuts::cut(std::string_view Service, std::string_view Version) {
  const std::lock_guard Lock(Mutex);
  Cuts.emplace(Service, Version);
  Count = Cuts.size();
}

void VersionCuts::restore(std::string_view Service, std::string_view Version) {
  const std::lock_guard Lock(Mutex);
  Cuts.erase({std::string(Service), std::string(Version)});
  Count = Cuts.size();
}

bool VersionCuts::isCut(std::string_view Service,
                        std::string_view Version) const {
  if (Count == 0) {
    return false;
  }
  const std::lock_guard Lock(Mutex);
  return Cuts.contains({std::string(Service), std::string(Version)});
}

} // namespace magnolia::daemon
