#include "daemon/control/internal/control_core.h"

#include "daemon/control/clock.h"
#include "daemon/log/log.h"
#include "settings/record/record_key.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>
#include <utility>

namespace magnolia::daemon::internal {

namespace {

using Milliseconds = std::chrono::duration<double, std::milli>;

std::string_view nameOf(ConfigRunner::Source From) {
  switch (From) {
  case ConfigRunner::Source::Store:
    return "store";
  case ConfigRunner::Source::Operator:
    return "operator";
  case ConfigRunner::Source::Peer:
    return "peer";
  case ConfigRunner::Source::Repair:
    return "repair";
  }
  return "unknown";
}

// Applies the entry and returns how long that took. Returns nothing for a value
// that cannot be parsed, which is logged.
std::optional<Milliseconds> applyTimed(FleetRecords &Records,
                                       const policy::ConfigEntry &Entry,
                                       ConfigRunner::Source From) {
  policy::Error LastError;
  const auto Start = std::chrono::steady_clock::now();
  if (!applyEntry(Records, Entry, steadyNow(), LastError)) {
    log(LogLevel::Error, "configuration value rejected",
        {{"key", std::string_view(Entry.Key)},
         {"revision", Entry.Revision},
         {"from", nameOf(From)},
         {"reason", std::string_view(LastError.Detail)}});
    return std::nullopt;
  }
  return std::chrono::steady_clock::now() - Start;
}

} // namespace

// Several versions of the routing table may arrive before the next view. Only
// the newest one is parsed, for that view.
void ControlCore::onEntry(const policy::ConfigEntry &Entry,
                          ConfigRunner::Source From) {
  if (Entry.Key == settings::RoutingKey) {
    PendingRouting = From;
    ViewDirty = true;
    return;
  }
  const auto Taken = applyTimed(Records, Entry, From);
  if (!Taken) {
    return;
  }
  log(LogLevel::Info, "configuration in effect",
      {{"key", std::string_view(Entry.Key)},
       {"revision", Entry.Revision},
       {"from", nameOf(From)},
       {"bytes", std::uint64_t{Entry.Value.size()}},
       {"took_ms", Taken->count()}});
  if (Entry.Key.starts_with(settings::RolloutRecordPrefix)) {
    const std::string_view Service = std::string_view(Entry.Key).substr(
        settings::RolloutRecordPrefix.size());
    const auto Rollout = Records.Rollouts.find(Service);
    if (Rollout == Records.Rollouts.end()) {
      Rollouts->onRemoved(Service);
    } else {
      if (!Rollout->second.Stored) {
        log(LogLevel::Warning, "rollout record of the store is an earlier one",
            {{"service", Service}, {"rollout", Rollout->second.Id}});
      }
      Rollouts->onRecord(Rollout->second);
    }
  }
  if (Entry.Key.starts_with(settings::RolloutRequestPrefix)) {
    const std::string_view Service = std::string_view(Entry.Key).substr(
        settings::RolloutRequestPrefix.size());
    const auto Requested = Records.RolloutRequests.find(Service);
    if (Requested != Records.RolloutRequests.end()) {
      Rollouts->onRolloutRequest(Requested->second);
    } else {
      Rollouts->onRequestWithdrawn(Service);
    }
  }
  ViewDirty = true;
}

void ControlCore::applyPendingRouting() {
  const auto From = std::exchange(PendingRouting, std::nullopt);
  const auto Newest = Config->table().Entries.find(settings::RoutingKey);
  if (!From || Newest == Config->table().Entries.end()) {
    return;
  }
  const policy::ConfigEntry &Entry = Newest->second;
  const auto Taken = applyTimed(Records, Entry, *From);
  if (!Taken) {
    return;
  }
  log(LogLevel::Info, "configuration in effect",
      {{"key", std::string_view(Entry.Key)},
       {"revision", Entry.Revision},
       {"from", nameOf(*From)},
       {"bytes", std::uint64_t{Entry.Value.size()}},
       {"routes", std::uint64_t{Records.Routing->Routes.Size}},
       {"changed", std::uint64_t{Records.RoutesChanged}},
       {"took_ms", Taken->count()}});
}

} // namespace magnolia::daemon::internal
