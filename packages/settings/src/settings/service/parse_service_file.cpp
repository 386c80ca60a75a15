#include "settings/service/parse_service_file.h"

#include "settings/record/check_service.h"
#include "settings/record/limits.h"
#include "settings/record/record_key.h"

#include <ini.h>

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <filesystem>
#include <set>
#include <utility>

namespace magnolia::settings {
namespace {

// inih silently truncates longer lines and section names.
constexpr std::size_t MaxLineSize = 198;
constexpr std::size_t MaxSectionSize = 49;

constexpr std::string_view RouteSection = "route ";

struct Parser {
  ServiceFile File;
  std::string RolloutFrom;
  std::string RolloutTo;
  std::string RolloutDeadline;
  bool HasRollout = false;
  std::set<std::pair<std::string, std::string>> Seen;
  // First fault, without the path of the file.
  std::string Fault;
};

std::string place(std::string_view Section, std::string_view Key) {
  return "section [" + std::string(Section) + "]: key " + std::string(Key) +
         ": ";
}

std::vector<std::string> wordsOf(std::string_view Text) {
  std::vector<std::string> Words(1);
  for (const char Character : Text) {
    if (Character != ',' && Character != ' ' && Character != '\t') {
      Words.back().push_back(Character);
    } else if (!Words.back().empty()) {
      Words.emplace_back();
    }
  }
  if (Words.back().empty()) {
    Words.pop_back();
  }
  return Words;
}

// Returns an empty text on success, otherwise the accepted values.
std::string readReal(std::string_view Text, double &Value,
                     std::string_view Accepted) {
  const char *End = Text.data() + Text.size();
  const auto [Rest, Error] = std::from_chars(Text.data(), End, Value);
  return Error == std::errc() && Rest == End ? std::string()
                                             : std::string(Accepted);
}

std::string readHedgePercent(ServiceRecord &Service, std::string_view Value) {
  std::uint64_t Percent = 0;
  const char *End = Value.data() + Value.size();
  const auto [Rest, Error] = std::from_chars(Value.data(), End, Percent);
  if (Error != std::errc() || Rest != End || Percent > MaxHedgePercent) {
    return "expected 0 to 20 percent";
  }
  Service.HedgePercent = Percent;
  return {};
}

std::string readLimit(ServiceRecord &Service, std::string_view Key,
                      std::string_view Value) {
  if (Key == "retry_ratio") {
    return readReal(Value, Service.RetryRatio, "expected a number from 0 to 1");
  }
  if (Key == "probe_ratio") {
    return readReal(Value, Service.ProbeRatio, "expected a number from 0 to 1");
  }
  if (Key == "probe_floor") {
    return readReal(Value, Service.ProbeFloor,
                    "expected 0 to 1000 probes per second");
  }
  if (Key == "hedge_percent") {
    return readHedgePercent(Service, Value);
  }
  return "unknown key; use retry_ratio, probe_ratio, probe_floor or "
         "hedge_percent";
}

std::string readRoute(RouteRecord &Route, std::string_view Key,
                      std::string_view Value) {
  if (Key == "methods") {
    Route.IdempotentMethods = wordsOf(Value);
    return Route.IdempotentMethods.empty()
               ? "expected the idempotent methods, for example GET, HEAD, PUT"
               : "";
  }
  if (Key == "idempotent") {
    if (Value != "true" && Value != "false") {
      return "expected true or false";
    }
    Route.Idempotent = Value == "true";
    return {};
  }
  if (Key == "timeout_ms") {
    const char *End = Value.data() + Value.size();
    const auto [Rest, Error] =
        std::from_chars(Value.data(), End, Route.TimeoutMs);
    const bool Valid = Error == std::errc() && Rest == End &&
                       Route.TimeoutMs > 0 && Route.TimeoutMs <= MaxTimeoutMs;
    return Valid ? "" : "expected 1 to 600000 milliseconds";
  }
  return "unknown key; use methods, idempotent or timeout_ms";
}

RouteRecord &routeFor(ServiceRecord &Service, std::string_view Prefix) {
  const auto Found = std::find_if(
      Service.Routes.begin(), Service.Routes.end(),
      [Prefix](const RouteRecord &Route) { return Route.Prefix == Prefix; });
  if (Found != Service.Routes.end()) {
    return *Found;
  }
  Service.Routes.push_back({});
  Service.Routes.back().Prefix = Prefix;
  return Service.Routes.back();
}

std::string readRollout(Parser &State, std::string_view Key,
                        std::string_view Value) {
  State.HasRollout = true;
  if (Key == "from" || Key == "to") {
    (Key == "from" ? State.RolloutFrom : State.RolloutTo) = Value;
    return isName(Value) ? ""
                         : "expected a version of 1 to 64 letters, digits, "
                           "'.', '_' and '-'";
  }
  if (Key == "deadline") {
    State.RolloutDeadline = Value;
    return {};
  }
  return "unknown key; use from, to or deadline";
}

std::string readKey(Parser &State, std::string_view Section,
                    std::string_view Key, std::string_view Value) {
  if (!State.Seen.emplace(Section, Key).second) {
    return "the key appears twice, or a line is indented; keep one and start "
           "every line at its first column";
  }
  if (Section == "service") {
    if (Key != "name" && Key != "version") {
      return "unknown key; use name or version";
    }
    (Key == "name" ? State.File.Service.Service : State.File.Service.Version) =
        Value;
    return {};
  }
  if (Section == "limits") {
    return readLimit(State.File.Service, Key, Value);
  }
  if (Section == "move") {
    return readRollout(State, Key, Value);
  }
  if (Section.substr(0, RouteSection.size()) == RouteSection) {
    return readRoute(
        routeFor(State.File.Service, Section.substr(RouteSection.size())), Key,
        Value);
  }
  return "unknown section; use [service], [route /PREFIX], [limits] or [move]";
}

// Called by inih for each key; 1 means accepted.
int onKey(void *User, const char *Section, const char *Key, const char *Value) {
  Parser &State = *static_cast<Parser *>(User);
  if (State.Fault.empty()) {
    const std::string Fault = readKey(State, Section, Key, Value);
    if (!Fault.empty()) {
      State.Fault = place(Section, Key) + Fault;
    }
  }
  return 1;
}

// Returns a message for the first line that inih would change silently.
std::string faultOfLines(std::string_view Text) {
  std::size_t Number = 1;
  while (!Text.empty()) {
    const std::size_t End = std::min(Text.find('\n'), Text.size());
    const std::string_view Line = Text.substr(0, End);
    const std::string Place = "line " + std::to_string(Number) + ": ";
    if (Line.size() > MaxLineSize) {
      return Place + "a line has at most 198 bytes; split the value or "
                     "shorten it";
    }
    if (!Line.empty() && Line[0] == '[' && Line.find(']') > MaxSectionSize) {
      return Place + "a section name has at most 49 bytes and ends with ']'; "
                     "shorten the path prefix";
    }
    if (Line.find('\0') != std::string_view::npos) {
      return Place + "the line has a zero byte; save the file as text";
    }
    Text.remove_prefix(std::min(End + 1, Text.size()));
    ++Number;
  }
  return {};
}

std::string finishRollout(Parser &State) {
  if (!State.HasRollout) {
    return {};
  }
  if (State.RolloutFrom.empty() || State.RolloutTo.empty() ||
      State.RolloutDeadline.empty()) {
    return "section [move]: from, to and deadline are all needed; add the "
           "missing ones or remove the section";
  }
  if (State.RolloutFrom == State.RolloutTo) {
    return place("move", "to") + "same version as from; name another one";
  }
  policy::Error Error;
  const auto Deadline = parseRolloutDeadline(State.RolloutDeadline, Error);
  if (!Deadline) {
    return "section [move]: key " + Error.Detail;
  }
  State.File.Rollout =
      RolloutPlan{State.RolloutFrom, State.RolloutTo, *Deadline};
  return {};
}

// Returns the section of the file that contains the field.
std::string sectionOf(const ServiceFault &Fault) {
  if (!Fault.Route.empty() || Fault.Field == "routes") {
    return "route " + Fault.Route;
  }
  return Fault.Field == "name" || Fault.Field == "version" ? "service"
                                                           : "limits";
}

std::string finish(Parser &State) {
  const ServiceRecord &Service = State.File.Service;
  if (Service.Service.empty()) {
    return "section [service]: key name is missing; add name = NAME";
  }
  if (const auto Fault = findFault(Service)) {
    return place(sectionOf(*Fault), Fault->Field) + Fault->Detail;
  }
  const std::string FileName =
      std::filesystem::path(State.File.Path).filename().string();
  const std::string ExpectedName =
      Service.Service + std::string(ServiceFileSuffix);
  if (FileName != ExpectedName) {
    return place("service", "name") + "the file of service " + Service.Service +
           " is named " + ExpectedName +
           "; change the name of the file or of the service";
  }
  return finishRollout(State);
}

} // namespace

std::optional<ServiceFile> parseServiceFile(std::string_view Text,
                                            const std::string &Path,
                                            policy::Error &LastError) {
  Parser State;
  State.File.Path = Path;
  if (Text.size() > MaxServiceFileSize) {
    State.Fault = "a service file has at most 262144 bytes; remove routes";
  } else {
    State.Fault = faultOfLines(Text);
  }
  if (State.Fault.empty()) {
    const int Line = ini_parse_string(std::string(Text).c_str(), onKey, &State);
    if (Line != 0) {
      State.Fault = "line " + std::to_string(Line) +
                    ": expected [SECTION] or KEY = VALUE";
    }
  }
  if (State.Fault.empty()) {
    State.Fault = finish(State);
  }
  if (!State.Fault.empty()) {
    LastError = {policy::ErrorKind::BadRequest, Path + ": " + State.Fault};
    return std::nullopt;
  }
  return std::move(State.File);
}

} // namespace magnolia::settings
