#include "daemon/view/share_overrides.h"

namespace magnolia::daemon {

void ShareOverrides::setShare(std::string_view Service,
                              std::string_view Version, double Share) {
  const std::lock_guard Lock(Mutex);
  Shares[{std::string(Service), std::string(Version)}] = Share;
  Count = Shares.size();
}

void ShareOverrides::block(std::string_view Service, std::string_view Version) {
  setShare(Service, Version, 0);
}

void ShareOverrides::restore(std::string_view Service,
                             std::string_view Version) {
  const std::lock_guard Lock(Mutex);
  Shares.erase({std::string(Service), std::string(Version)});
  Count = Shares.size();
}

std::optional<double> ShareOverrides::share(std::string_view Service,
                                            std::string_view Version) const {
  if (Count == 0) {
    return std::nullopt;
  }
  const std::lock_guard Lock(Mutex);
  const auto Found = Shares.find({std::string(Service), std::string(Version)});
  return Found == Shares.end() ? std::nullopt : std::optional(Found->second);
}

bool ShareOverrides::isBlocked(std::string_view Service,
                               std::string_view Version) const {
  const std::optional<double> Override = share(Service, Version);
  return Override && *Override <= 0;
}

} // namespace magnolia::daemon
