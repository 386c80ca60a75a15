#include "daemon/control/fleet_records.h"

#include "policy/zone/zone.h"
#include "policy/zone/zone_record.h"
#include "settings/record/parse_record.h"
#include "settings/record/record_key.h"
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

bool applyMove(FleetRecords &Records, const std::string &Name,
               const policy::ConfigEntry &Entry, policy::Error &LastError) {
  if (Entry.Tombstone) {
    Records.Moves.erase(Name);
    return true;
  }
  std::optional<settings::StoredMove> Stored =
      settings::parseMove(Entry.Value, LastError);
  if (!Stored || Stored->Move.Service != Name) {
    return false;
  }
  Stored->Move.Revision = Entry.Revision;
  Records.Moves[Name] = std::move(Stored->Move);
  return true;
}

bool applyOrder(FleetRecords &Records, const std::string &Name,
                const policy::ConfigEntry &Entry, policy::Error &LastError) {
  if (Entry.Tombstone) {
    Records.Orders.erase(Name);
    return true;
  }
  const std::optional<settings::MoveOrder> Order =
      settings::parseOrder(Entry.Value, LastError);
  if (!Order || Order->Service != Name) {
    return false;
  }
  Records.Orders[Name] = {.Service = Name,
                          .ToVersion = Order->ToVersion,
                          .Window =
                              std::chrono::milliseconds(Order->DurationMs),
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
  std::optional<settings::RoutingRecord> Record =
      settings::parseRouting(Entry.Value, LastError);
  if (!Record) {
    return false;
  }
  Records.Routing = std::make_shared<const RoutingTable>(
      makeRoutingTable(*std::move(Record)));
  return true;
}

} // namespace

const policy::MoveOrder *pendingRolloutRequest(const FleetRecords &Records,
                                               std::string_view Service) {
  const auto Order = Records.Orders.find(Service);
  if (Order == Records.Orders.end()) {
    return nullptr;
  }
  const auto Move = Records.Moves.find(Service);
  const bool Started = Move != Records.Moves.end() &&
                       Move->second.Id == policy::moveIdOf(Order->second);
  return Started ? nullptr : &Order->second;
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
  } else if (const auto Move = nameFromKey(Entry.Key, settings::MovePrefix)) {
    Applied = applyMove(Records, *Move, Entry, LastError);
  } else if (const auto Order = nameFromKey(Entry.Key, settings::OrderPrefix)) {
    Applied = applyOrder(Records, *Order, Entry, LastError);
  } else if (Entry.Key == settings::RoutingKey) {
    Applied = applyRouting(Records, Entry, LastError);
  }
  Records.Malformed += Applied ? 0 : 1;
  return Applied;
}

} // namespace magnolia::daemon
