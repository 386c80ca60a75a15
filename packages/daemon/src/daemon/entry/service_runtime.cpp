#include "daemon/entry/service_runtime.h"

#include "policy/route/update_candidates.h"

#include <utility>

namespace magnolia::daemon {

std::uint32_t NameTable::indexOf(std::string_view Name) {
  const auto Found = Indices.find(Name);
  if (Found != Indices.end()) {
    return Found->second;
  }
  const auto Index = static_cast<std::uint32_t>(Indices.size());
  Indices.emplace(Name, Index);
  return Index;
}

void refresh(ServiceRuntime &Runtime, const ClusterView &View,
             const std::shared_ptr<const ServiceView> &Service,
             policy::TimePoint Now) {
  if (Runtime.ViewSequence >= View.Sequence && Runtime.View) {
    return;
  }
  Runtime.ViewSequence = View.Sequence;
  Runtime.View = Service;
  Runtime.Retries.Options.Ratio = Service->RetryRatio;
  Runtime.Probes.Options.Ratio = Service->ProbeRatio;
  Runtime.Probes.Options.FloorPerSecond = Service->ProbeFloorPerSecond;
  std::vector<policy::CandidateSpec> Specs;
  Specs.reserve(Service->Backends.size());
  Runtime.Endpoints.clear();
  for (const BackendEndpoint &Backend : Service->Backends) {
    Specs.push_back({.Node = Backend.Node,
                     .Run = Backend.Run,
                     .Zone = Runtime.Zones.indexOf(Backend.Zone),
                     .Version = Runtime.Versions.indexOf(Backend.Version),
                     .Distance = Backend.ZoneDistance,
                     .ZoneOut = View.ZonesOut.contains(Backend.Zone),
                     .Draining = Backend.Draining});
    Runtime.Endpoints.emplace(Backend.Node, Backend);
  }
  policy::updateCandidates(Runtime.Route, Specs, Now);
}

std::vector<policy::VersionShare>
versionShares(ServiceRuntime &Runtime, const ShareOverrides &Overrides) {
  const ServiceView &View = *Runtime.View;
  std::vector<policy::VersionShare> Shares;
  if (!View.RolloutId.empty()) {
    const double NewShare =
        Overrides.share(View.Name, View.NewVersion).value_or(View.NewShare);
    Shares.push_back({.Version = Runtime.Versions.indexOf(View.OldVersion),
                      .Share = 1 - NewShare});
    if (NewShare > 0) {
      Shares.push_back({.Version = Runtime.Versions.indexOf(View.NewVersion),
                        .Share = NewShare});
    }
    return Shares;
  }
  std::map<std::string_view, double> Counts;
  std::size_t Total = 0;
  bool AnyOverride = false;
  for (const BackendEndpoint &Backend : View.Backends) {
    if (Overrides.isBlocked(View.Name, Backend.Version)) {
      AnyOverride = true;
    } else {
      Counts[Backend.Version] += 1;
      ++Total;
    }
  }
  if (AnyOverride && Total > 0) {
    for (const auto &[Version, Count] : Counts) {
      Shares.push_back({.Version = Runtime.Versions.indexOf(Version),
                        .Share = Count / static_cast<double>(Total)});
    }
  }
  return Shares;
}

std::shared_ptr<ServiceRuntime> ServiceTable::make() const {
  auto NewRuntime = std::make_shared<ServiceRuntime>();
  NewRuntime->Retries.Options = Initial.Retry;
  NewRuntime->Overload.Options = Initial.Overload;
  NewRuntime->Route.Options = Initial.Route;
  return NewRuntime;
}

std::shared_ptr<ServiceRuntime> ServiceTable::find(const ClusterView &View,
                                                   std::string_view Name,
                                                   policy::TimePoint Now) {
  const auto Service = View.Services.find(Name);
  if (Service == View.Services.end()) {
    return nullptr;
  }
  std::shared_ptr<ServiceRuntime> Runtime;
  {
    const std::lock_guard Lock(Mutex);
    const auto Found = Services.find(Name);
    Runtime = Found != Services.end()
                  ? Found->second
                  : Services.emplace(Service->first, make()).first->second;
  }
  const std::lock_guard Lock(Runtime->Mutex);
  refresh(*Runtime, View, Service->second, Now);
  return Runtime;
}

std::shared_ptr<ServiceRuntime>
ServiceTable::copy(const ClusterView &View, std::string_view Name,
                   policy::TimePoint Now) const {
  const auto Service = View.Services.find(Name);
  if (Service == View.Services.end()) {
    return nullptr;
  }
  std::shared_ptr<ServiceRuntime> Original;
  {
    const std::lock_guard Lock(Mutex);
    const auto Found = Services.find(Name);
    Original = Found != Services.end() ? Found->second : nullptr;
  }
  std::shared_ptr<ServiceRuntime> Copy = make();
  if (Original) {
    const std::lock_guard Lock(Original->Mutex);
    static_cast<ServiceState &>(*Copy) = *Original;
  }
  refresh(*Copy, View, Service->second, Now);
  return Copy;
}

std::vector<std::pair<std::string, std::shared_ptr<ServiceRuntime>>>
ServiceTable::all() const {
  const std::lock_guard Lock(Mutex);
  return {Services.begin(), Services.end()};
}

} // namespace magnolia::daemon
