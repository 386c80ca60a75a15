#include "daemon/control/fleet_records.h"

#include "policy/rollout/lost_record.h"
#include "policy/zone/zone.h"
#include "policy/zone/zone_record.h"
#include "settings/record/parse_record.h"
#include "settings/record/record_key.h"
#include "settings/record/routing_change.h"
#include "settings/record/routing_json.h"

#include <optional>
#include <string_view>
#include <utility>

namespace magnolia::daemon {

namespace {

// Returns the part of the key after the prefix, or nothing for another prefix.
std::optional<std::string> nameFromKey(std::string_view Key,
                                       std::string_view Prefix) {
  if (!Key.starts_with(Prefix)) {
    return std::nullopt;
  }
  return std::string(Key.substr(Prefix.size()));
}

bool applyService(FleetRecords &Records, const std::string &Name,
                  const policy::ConfigEntry &Entry, policy::Error &LastError) {
  if (Entry.Tombstone) {
    Records.Services.erase(Name);
    return true;
  }
  std::optional<settings::ServiceRecord> Record =
      settings::parseService(Entry.Value, LastError);
  if (!Record || Record->Service != Name) {
    return false;
  }
  Records.Services[Name] = *std::move(Record);
  return true;
}

bool applyZone(FleetRecords &Records, const std::string &Name,
               const policy::ConfigEntry &Entry, policy::TimePoint Now,
               policy::Error &LastError) {
  policy::ZoneRecord Record = {
      .Zone = Name, .Out = false, .Reason = {}, .Revision = Entry.Revision};
  if (!Entry.Tombstone) {
    const std::optional<settings::ZoneRecord> Stored =
        settings::parseZone(Entry.Value, LastError);
    if (!Stored) {
      return false;
    }
    Record.Out = Stored->Out;
    Record.Reason = Stored->Operator;
  }
  policy::applyZone(Records.Zones[Name], Record, Now);
  return true;
}

bool applyRollout(FleetRecords &Records, const std::string &Name,
                  const policy::ConfigEntry &Entry, policy::Error &LastError) {
  if (Entry.Tombstone) {
    Records.Rollouts.erase(Name);
    return true;
  }
  std::optional<settings::StoredRollout> Stored =
      settings::parseRollout(Entry.Value, LastError);
  if (!Stored || Stored->Rollout.Service != Name) {
    return false;
  }
  Stored->Rollout.Revision = Entry.Revision;
  const auto Held = Records.Rollouts.find(Name);
  Records.Rollouts[Name] = policy::recordInEffect(
      Held == Records.Rollouts.end() ? nullptr : &Held->second,
      Stored->Rollout);
  return true;
}

bool applyRolloutRequest(FleetRecords &Records, const std::string &Name,
                         const policy::ConfigEntry &Entry,
                         policy::Error &LastError) {
  if (Entry.Tombstone) {
    Records.RolloutRequests.erase(Name);
    return true;
  }
  const std::optional<settings::RolloutRequest> Requested =
      settings::parseRolloutRequest(Entry.Value, LastError);
  if (!Requested || Requested->Service != Name) {
    return false;
  }
  Records.RolloutRequests[Name] = {
      .Service = Name,
      .ToVersion = Requested->ToVersion,
      .Window = std::chrono::milliseconds(Requested->DurationMs),
      .Revision = Entry.Revision};
  return true;
}

bool applyRouting(FleetRecords &Records, const policy::ConfigEntry &Entry,
                  policy::Error &LastError) {
  if (Entry.Tombstone) {
    LastError = {policy::ErrorKind::BadRequest,
                 "the routing table was deleted; the last one stays in effect"};
    return false;
  }
  const std::optional<settings::RoutingChange> Change =
      settings::compareRouting(Records.RoutingLines, Entry.Value, LastError);
  if (!Change) {
    return false;
  }
  // A store that was restored from a copy holds an earlier table until the
  // operator writes the last one again.
  if (Records.Routing && Change->Version < Records.Routing->Version) {
    LastError = {policy::ErrorKind::BadRequest,
                 "version " + std::to_string(Change->Version) +
                     " is older than version " +
                     std::to_string(Records.Routing->Version) +
                     ", which stays in effect"};
    return false;
  }
  std::optional<RoutingTable> Next = withChange(
      Records.Routing ? *Records.Routing : RoutingTable{}, *Change, LastError);
  if (!Next) {
    return false;
  }
  Records.Routing = std::make_shared<const RoutingTable>(*std::move(Next));
  Records.RoutesChanged = Change->AddedRoutes.size();
  settings::remember(Records.RoutingLines, Entry.Value, *Change);
  return true;
}

} // namespace

const policy::RolloutRequest *pendingRolloutRequest(const FleetRecords &Records,
                                                    std::string_view Service) {
  const auto Requested = Records.RolloutRequests.find(Service);
  if (Requested == Records.RolloutRequests.end()) {
    return nullptr;
  }
  const auto Rollout = Records.Rollouts.find(Service);
  const bool Started =
      Rollout != Records.Rollouts.end() &&
      (policy::carriesOut(Rollout->second, Requested->second) ||
       policy::mayBeOutdated(Requested->second, Rollout->second));
  return Started ? nullptr : &Requested->second;
}

bool applyEntry(FleetRecords &Records, const policy::ConfigEntry &Entry,
                policy::TimePoint SteadyNow, policy::Error &LastError) {
  LastError = {policy::ErrorKind::BadRequest,
               "the name in the value differs from the key " + Entry.Key};
  bool Applied = true;
  if (const auto Service = nameFromKey(Entry.Key, settings::ServicePrefix)) {
    Applied = applyService(Records, *Service, Entry, LastError);
  } else if (const auto Zone = nameFromKey(Entry.Key, settings::ZonePrefix)) {
    Applied = applyZone(Records, *Zone, Entry, SteadyNow, LastError);
  } else if (const auto Rollout =
                 nameFromKey(Entry.Key, settings::RolloutRecordPrefix)) {
    Applied = applyRollout(Records, *Rollout, Entry, LastError);
  } else if (const auto Requested =
                 nameFromKey(Entry.Key, settings::RolloutRequestPrefix)) {
    Applied = applyRolloutRequest(Records, *Requested, Entry, LastError);
  } else if (Entry.Key == settings::RoutingKey) {
    Applied = applyRouting(Records, Entry, LastError);
  }
  Records.Malformed += Applied ? 0 : 1;
  return Applied;
}

} // namespace magnolia::daemon
