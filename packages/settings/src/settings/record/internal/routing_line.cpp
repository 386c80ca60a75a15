#include "settings/record/internal/routing_line.h"

#include "policy/core/parse_json.h"
#include "settings/record/internal/field_reader.h"
#include "settings/record/limits.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>
#include <variant>

namespace magnolia::settings::internal {
namespace {

using Json = nlohmann::json;
using OrderedJson = nlohmann::ordered_json;

// Fields of a route in the order of their places in a line.
constexpr const char *RouteFields[] = {
    "host",       "prefix",     "name",         "targets",
    "idempotent", "timeout_ms", "objective_ms", "max_attempts",
    "priority",   "bulk",       "public"};
constexpr const char *TargetFields[] = {"service", "weight"};

// Appends a JSON text. Bytes that are not UTF-8 are replaced.
void appendText(std::string &Line, std::string_view Text) {
  const bool IsPlain =
      std::all_of(Text.begin(), Text.end(), [](char Character) {
        return Character >= ' ' && Character < '\x7f' && Character != '"' &&
               Character != '\\';
      });
  if (IsPlain) {
    Line.append(1, '"').append(Text).append(1, '"');
  } else {
    Line += Json(Text).dump(-1, ' ', false, Json::error_handler_t::replace);
  }
}

// Appends the shortest text that is read back as the same number.
template <class Number> void appendNumber(std::string &Line, Number Value) {
  constexpr std::size_t LongestNumber = 32;
  std::array<char, LongestNumber> Digits{};
  const auto End =
      std::to_chars(Digits.data(), Digits.data() + Digits.size(), Value).ptr;
  Line.append(Digits.data(), End);
}

void appendTargets(std::string &Line, const HostRoute &Route) {
  if (Route.Targets.size() == 1 && Route.Targets.front().Weight == 1) {
    appendText(Line, Route.Targets.front().Service);
    return;
  }
  char Separator = '[';
  for (const RouteTarget &Target : Route.Targets) {
    Line.append(1, Separator).append(1, '[');
    appendText(Line, Target.Service);
    Line += ',';
    appendNumber(Line, Target.Weight);
    Line += ']';
    Separator = ',';
  }
  Line += Route.Targets.empty() ? "[]" : "]";
}

bool hasControls(std::string_view Text) {
  return std::any_of(Text.begin(), Text.end(), [](char Character) {
    const auto Code = static_cast<unsigned char>(Character);
    return Code < ' ' || Code == '\x7f';
  });
}

using OptionalValue = std::variant<bool, std::uint64_t>;

// Returns the fields after the targets, which a line may omit from the end on.
std::array<OptionalValue, 7> optionalValues(const HostRoute &Route) {
  return {Route.Idempotent,
          Route.TimeoutMs,
          Route.ObjectiveMs,
          std::uint64_t{Route.MaxAttempts},
          std::uint64_t{Route.Priority},
          Route.Bulk,
          Route.Public};
}

std::uint32_t smallNumber(FieldReader &Fields, const char *Name,
                          std::uint64_t Minimum, std::uint64_t IfAbsent) {
  return static_cast<std::uint32_t>(
      Fields.number(Name, Minimum, MaxSmallNumber, IfAbsent));
}

// A single service stands for a list of one with the weight 1.
void readTargets(FieldReader &Fields, HostRoute &Route) {
  if (Fields.isText("targets")) {
    Route.Targets.push_back({.Service = Fields.anyText("targets")});
    return;
  }
  const Json *const List = Fields.array("targets", MaxRoutingSize);
  if (List == nullptr || List->empty()) {
    Fields.fail("targets", "a service or a list of at least one service");
    return;
  }
  for (const Json &Element : *List) {
    FieldReader Target("targets " + std::to_string(Route.Targets.size() + 1),
                       Element, TargetFields);
    Route.Targets.push_back(readTarget(Target));
    if (Target.failed()) {
      Fields.failWith(Target.message());
      return;
    }
  }
}

} // namespace

std::string headLine(std::uint64_t Version, const CallerLimits &Callers) {
  OrderedJson Limits = OrderedJson::object();
  const auto Add = [&Limits](const char *Name, std::uint64_t Value) {
    if (Value != 0) {
      Limits[Name] = Value;
    }
  };
  Add("head_bytes", Callers.HeadBytes);
  Add("body_bytes", Callers.BodyBytes);
  Add("head_timeout_ms", Callers.HeadTimeoutMs);
  Add("idle_timeout_ms", Callers.IdleTimeoutMs);
  return OrderedJson{{"version", Version}, {"callers", std::move(Limits)}}
      .dump();
}

std::string routeLine(const HostRoute &Route) {
  std::string Line(RouteLineStart);
  appendText(Line, Route.Host);
  Line += ',';
  appendText(Line, Route.Prefix);
  Line += ',';
  appendText(Line, Route.Name);
  Line += ',';
  appendTargets(Line, Route);
  const auto Values = optionalValues(Route);
  const auto Defaults = optionalValues({});
  std::size_t Count = Values.size();
  while (Count > 0 && Values[Count - 1] == Defaults[Count - 1]) {
    --Count;
  }
  for (std::size_t Place = 0; Place < Count; ++Place) {
    Line += ',';
    if (const auto *const Flag = std::get_if<bool>(&Values[Place])) {
      Line += *Flag ? "true" : "false";
    } else {
      appendNumber(Line, std::get<std::uint64_t>(Values[Place]));
    }
  }
  Line += ']';
  return Line;
}

std::string serviceLine(const ServiceLimits &Service) {
  std::string Line = "{\"service\":";
  appendText(Line, Service.Service);
  if (!Service.HealthPath.empty()) {
    Line += ",\"health_path\":";
    appendText(Line, Service.HealthPath);
  }
  const auto Add = [&Line](const char *Name, auto Value) {
    if (Value != 0) {
      Line.append(",\"").append(Name).append("\":");
      appendNumber(Line, Value);
    }
  };
  Add("connections", Service.Connections);
  Add("cold_start_ms", Service.ColdStartMs);
  Add("cold_per_second", Service.ColdPerSecond);
  Line += '}';
  return Line;
}

std::string organisationLine(const OrganisationRecord &Organisation) {
  std::string Line(OrganisationLineStart);
  appendText(Line, Organisation.Name);
  Line += ",\"keys\":[";
  const char *Separator = "";
  for (const std::string &Key : Organisation.Keys) {
    Line += Separator;
    appendText(Line, Key);
    Separator = ",";
  }
  Line += ']';
  if (Organisation.Priority) {
    Line += ",\"priority\":";
    appendNumber(Line, *Organisation.Priority);
  }
  Line += '}';
  return Line;
}

bool parseHeadLine(std::string_view Line, std::uint64_t &Version,
                   CallerLimits &Callers, policy::Error &LastError) {
  FieldReader Fields("head", Line);
  Version = Fields.number("version", 0, UINT64_MAX);
  // A document of the previous format is not taken for a table without routes.
  for (const char *List : {"routes", "services"}) {
    if (Fields.array(List, 0) != nullptr) {
      Fields.fail(List, "a line for each");
    }
  }
  FieldReader CallerFields("callers", Fields.object("callers"));
  Callers = readCallerFields(CallerFields);
  return !Fields.report(LastError) && !CallerFields.report(LastError);
}

std::optional<HostRoute> parseRouteLine(std::string_view Line,
                                        policy::Error &LastError) {
  FieldReader Fields("route", policy::parseJson(Line), RouteFields);
  HostRoute Route;
  readRouteFields(Fields, Route);
  Route.Idempotent = Fields.optionalFlag("idempotent").value_or(false);
  Route.Bulk = Fields.optionalFlag("bulk").value_or(false);
  Route.Public = Fields.optionalFlag("public").value_or(false);
  readTargets(Fields, Route);
  return Fields.report(LastError) ? std::nullopt
                                  : std::optional(std::move(Route));
}

std::optional<ServiceLimits> parseServiceLine(std::string_view Line,
                                              policy::Error &LastError) {
  FieldReader Fields("service", policy::parseJson(Line));
  ServiceLimits Service = readServiceFields(Fields);
  return Fields.report(LastError) ? std::nullopt
                                  : std::optional(std::move(Service));
}

std::optional<OrganisationRecord>
parseOrganisationLine(std::string_view Line, policy::Error &LastError) {
  FieldReader Fields("organisation", policy::parseJson(Line));
  OrganisationRecord Organisation;
  Organisation.Name = Fields.anyText("organisation");
  // The name becomes the value of a header.
  if (Organisation.Name.empty() || hasControls(Organisation.Name)) {
    Fields.fail("organisation", "a text without control characters");
  }
  if (const Json *const List = Fields.array("keys", MaxRoutingSize)) {
    for (const Json &Key : *List) {
      const auto *const Text = Key.get_ptr<const std::string *>();
      if (Text == nullptr) {
        Fields.fail("keys", "a list of texts");
        break;
      }
      Organisation.Keys.push_back(*Text);
    }
  }
  if (Fields.has("priority")) {
    Organisation.Priority = smallNumber(Fields, "priority", 0, 0);
  }
  return Fields.report(LastError) ? std::nullopt
                                  : std::optional(std::move(Organisation));
}

void readRouteFields(FieldReader &Fields, HostRoute &Route) {
  Route.Name = Fields.anyText("name");
  Route.Host = Fields.anyText("host");
  Route.Prefix = Fields.anyText("prefix");
  Route.TimeoutMs = Fields.number("timeout_ms", 0, MaxTimeoutMs, 0);
  Route.ObjectiveMs = Fields.number("objective_ms", 0, MaxTimeoutMs, 0);
  Route.MaxAttempts = smallNumber(Fields, "max_attempts", 1, 1);
  Route.Priority = smallNumber(Fields, "priority", 0, 0);
}

RouteTarget readTarget(FieldReader &Fields) {
  return {.Service = Fields.anyText("service"),
          .Weight = Fields.real("weight", MaxWeight, 1)};
}

ServiceLimits readServiceFields(FieldReader &Fields) {
  return {.Service = Fields.anyText("service"),
          .HealthPath = Fields.optionalText("health_path", MaxRoutingSize),
          .Connections = smallNumber(Fields, "connections", 0, 0),
          .ColdStartMs = Fields.number("cold_start_ms", 0, MaxTimeoutMs, 0),
          .ColdPerSecond = Fields.real("cold_per_second", MaxWeight, 0)};
}

CallerLimits readCallerFields(FieldReader &Fields) {
  return {.HeadBytes = Fields.number("head_bytes", 0, UINT32_MAX, 0),
          .BodyBytes = Fields.number("body_bytes", 0, UINT32_MAX, 0),
          .HeadTimeoutMs = Fields.number("head_timeout_ms", 0, MaxTimeoutMs, 0),
          .IdleTimeoutMs =
              Fields.number("idle_timeout_ms", 0, MaxTimeoutMs, 0)};
}

} // namespace magnolia::settings::internal
