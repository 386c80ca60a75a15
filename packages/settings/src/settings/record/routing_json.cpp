#include "settings/record/routing_json.h"

#include "settings/record/internal/field_reader.h"
#include "settings/record/limits.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace magnolia::settings {
namespace {

using internal::FieldReader;
using Json = nlohmann::ordered_json;

std::string dump(const Json &Document) {
  return Document.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Json toJson(const HostRoute &Route) {
  Json Targets = Json::array();
  for (const RouteTarget &Target : Route.Targets) {
    Targets.push_back({{"service", Target.Service}, {"weight", Target.Weight}});
  }
  return {{"name", Route.Name},
          {"host", Route.Host},
          {"prefix", Route.Prefix},
          {"targets", std::move(Targets)},
          {"idempotent", Route.Idempotent},
          {"timeout_ms", Route.TimeoutMs},
          {"objective_ms", Route.ObjectiveMs},
          {"max_attempts", Route.MaxAttempts},
          {"priority", Route.Priority}};
}

Json toJson(const ServiceLimits &Service) {
  return {{"service", Service.Service},
          {"health_path", Service.HealthPath},
          {"connections", Service.Connections},
          {"cold_start_ms", Service.ColdStartMs},
          {"cold_per_second", Service.ColdPerSecond}};
}

std::uint32_t smallNumber(FieldReader &Fields, const char *Name,
                          std::uint64_t Minimum, std::uint64_t IfAbsent) {
  return static_cast<std::uint32_t>(
      Fields.number(Name, Minimum, MaxSmallNumber, IfAbsent));
}

// Reads each object of a list with ReadOne. Returns false and sets LastError on
// the first fault.
template <class Read>
bool readEach(FieldReader &Fields, const char *Name, std::size_t MaxSize,
              policy::Error &LastError, Read &&ReadOne) {
  const nlohmann::json *const List = Fields.array(Name, MaxSize);
  if (List == nullptr) {
    return true;
  }
  std::size_t Place = 0;
  for (const nlohmann::json &Object : *List) {
    FieldReader Entry(std::string(Name) + " " + std::to_string(++Place),
                      Object);
    if (!ReadOne(Entry) || Entry.report(LastError)) {
      return false;
    }
  }
  return true;
}

bool readRoute(FieldReader &Fields, HostRoute &Route,
               policy::Error &LastError) {
  Route.Name = Fields.text("name", MaxPrefixSize);
  Route.Host = Fields.text("host", MaxPrefixSize);
  Route.Prefix = Fields.text("prefix", MaxPrefixSize);
  Route.Idempotent = Fields.flag("idempotent");
  Route.TimeoutMs = Fields.number("timeout_ms", 0, MaxTimeoutMs, 0);
  Route.ObjectiveMs = Fields.number("objective_ms", 0, MaxTimeoutMs, 0);
  Route.MaxAttempts = smallNumber(Fields, "max_attempts", 1, 1);
  Route.Priority = smallNumber(Fields, "priority", 0, 0);
  const bool Read = readEach(
      Fields, "targets", MaxTargets, LastError, [&](FieldReader &Entry) {
        Route.Targets.push_back({.Service = Entry.name("service"),
                                 .Weight = Entry.real("weight", MaxWeight, 1)});
        return true;
      });
  if (Read && Route.Targets.empty()) {
    Fields.fail("targets", "a list of at least one service");
  }
  return Read;
}

bool readService(FieldReader &Fields, ServiceLimits &Service) {
  Service.Service = Fields.name("service");
  Service.HealthPath = Fields.optionalText("health_path", MaxPrefixSize);
  Service.Connections = smallNumber(Fields, "connections", 0, 0);
  Service.ColdStartMs = Fields.number("cold_start_ms", 0, MaxTimeoutMs, 0);
  Service.ColdPerSecond = Fields.real("cold_per_second", MaxWeight, 0);
  return true;
}

} // namespace

std::string formatRouting(const RoutingRecord &Routing) {
  Json Routes = Json::array();
  for (const HostRoute &Route : Routing.Routes) {
    Routes.push_back(toJson(Route));
  }
  Json Services = Json::array();
  for (const ServiceLimits &Service : Routing.Services) {
    Services.push_back(toJson(Service));
  }
  return dump({{"version", Routing.Version},
               {"routes", std::move(Routes)},
               {"services", std::move(Services)},
               {"callers",
                {{"head_bytes", Routing.Callers.HeadBytes},
                 {"body_bytes", Routing.Callers.BodyBytes},
                 {"head_timeout_ms", Routing.Callers.HeadTimeoutMs},
                 {"idle_timeout_ms", Routing.Callers.IdleTimeoutMs}}}});
}

std::optional<RoutingRecord> parseRouting(std::string_view Value,
                                          policy::Error &LastError) {
  FieldReader Fields("routing table", Value, MaxRoutingSize);
  RoutingRecord Routing;
  Routing.Version = Fields.number("version", 0, UINT64_MAX);
  const bool Read =
      readEach(Fields, "routes", MaxHostRoutes, LastError,
               [&](FieldReader &Entry) {
                 return readRoute(Entry, Routing.Routes.emplace_back(),
                                  LastError);
               }) &&
      readEach(Fields, "services", MaxHostRoutes, LastError,
               [&](FieldReader &Entry) {
                 return readService(Entry, Routing.Services.emplace_back());
               });
  if (!Read || Fields.report(LastError)) {
    return std::nullopt;
  }
  FieldReader Callers("routing table: callers", Fields.object("callers"));
  Routing.Callers = {
      .HeadBytes = Callers.number("head_bytes", 0, UINT32_MAX, 0),
      .BodyBytes = Callers.number("body_bytes", 0, UINT32_MAX, 0),
      .HeadTimeoutMs = Callers.number("head_timeout_ms", 0, MaxTimeoutMs, 0),
      .IdleTimeoutMs = Callers.number("idle_timeout_ms", 0, MaxTimeoutMs, 0)};
  if (Callers.report(LastError)) {
    return std::nullopt;
  }
  return Routing;
}

std::string formatRolloutRequest(const RolloutRequest &Requested) {
  return dump({{"service", Requested.Service},
               {"to", Requested.ToVersion},
               {"duration_ms", Requested.DurationMs}});
}

std::optional<RolloutRequest> parseRolloutRequest(std::string_view Value,
                                                  policy::Error &LastError) {
  FieldReader Fields("rollout request", Value);
  RolloutRequest Requested;
  Requested.Service = Fields.name("service");
  Requested.ToVersion = Fields.name("to");
  Requested.DurationMs = Fields.number("duration_ms", 1, MaxRolloutMs);
  if (Fields.report(LastError)) {
    return std::nullopt;
  }
  return Requested;
}

} // namespace magnolia::settings
