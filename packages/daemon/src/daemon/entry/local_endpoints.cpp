#include "daemon/entry/local_endpoints.h"

#include "daemon/entry/own_host.h"
#include "daemon/entry/parse_call.h"
#include "policy/core/parse_json.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <limits>
#include <optional>
#include <utility>

namespace magnolia::daemon {

namespace {

constexpr std::size_t AnnouncementMaximum = 4096;
constexpr std::size_t NameMaximum = 64;
constexpr std::uint32_t CountMaximum = 100'000;

HttpResponse text(std::uint16_t Status, std::string Type, std::string Body) {
  HttpResponse Response;
  Response.Status = Status;
  Response.Headers = {{"Content-Type", std::move(Type)}};
  Response.Body = std::move(Body);
  return Response;
}

HttpResponse badRequest(std::string_view Detail) {
  return errorResponse(nativeDialect(), policy::ErrorKind::BadRequest, Detail,
                       false);
}

// Reads an optional integer. Returns false if it is present but out of range.
template <class Number>
bool readNumber(const nlohmann::json &From, const char *Name,
                std::uint64_t Minimum, std::uint64_t Maximum, Number &To) {
  const auto Found = From.find(Name);
  if (Found == From.end()) {
    return true;
  }
  if (!Found->is_number_unsigned()) {
    return false;
  }
  const auto Value = Found->get<std::uint64_t>();
  To = static_cast<Number>(Value);
  return Value >= Minimum && Value <= Maximum;
}

bool readName(const nlohmann::json &From, const char *Name, std::string &To) {
  const auto Found = From.find(Name);
  if (Found == From.end()) {
    return true;
  }
  if (!Found->is_string()) {
    return false;
  }
  To = Found->get<std::string>();
  return !To.empty() && To.size() <= NameMaximum;
}

// Fields missing from the announcement keep their values from the settings.
std::optional<LocalBackendState> readAnnouncement(const std::string &Body,
                                                  LocalBackendState State) {
  if (Body.size() > AnnouncementMaximum) {
    return std::nullopt;
  }
  const auto Json = policy::parseJson(Body);
  if (!Json.is_object() || !readName(Json, "service", State.Service) ||
      !readName(Json, "version", State.Version) ||
      !readNumber(Json, "port", 1, 65'535, State.Port) ||
      !readNumber(Json, "slots", 1, CountMaximum, State.Slots) ||
      !readNumber(Json, "connections", 1, CountMaximum, State.Connections) ||
      !readNumber(Json, "incarnation", 0,
                  std::numeric_limits<std::uint64_t>::max(), State.Run) ||
      State.Service.empty() || State.Version.empty() || State.Port == 0) {
    return std::nullopt;
  }
  State.Present = true;
  State.Draining = false;
  return State;
}

HttpResponse announce(const LocalEndpoints &Endpoints,
                      const HttpRequest &Request) {
  if (!isOwnHost(Request.RemoteAddress, {Endpoints.OwnAddress})) {
    return badRequest("only the local backend server may announce itself");
  }
  LocalBackendState Known = Endpoints.Backend.state();
  if (Request.Method == "DELETE") {
    Known.Draining = true;
    Endpoints.Announce(Known);
    return text(200, "application/json", "{}");
  }
  if (Known.Address.empty()) {
    Known.Address = Request.RemoteAddress;
  }
  const auto State = readAnnouncement(Request.Body, std::move(Known));
  if (!State) {
    return badRequest(
        "expected JSON with service, version, port (1 to 65535), slots and "
        "connections (1 to 100000) and incarnation");
  }
  Endpoints.Announce(*State);
  return text(200, "application/json", "{}");
}

} // namespace

HttpResponse answerLocal(const LocalEndpoints &Endpoints,
                         const HttpRequest &Request) {
  const std::string Path = Request.Target.substr(0, Request.Target.find('?'));
  if (Path == "/-/backend" &&
      (Request.Method == "POST" || Request.Method == "DELETE")) {
    return announce(Endpoints, Request);
  }
  if (Request.Method != "GET") {
    return badRequest("the node has no such endpoint");
  }
  if (Path == "/-/metrics") {
    return text(200, "text/plain; version=0.0.4", Endpoints.Metrics());
  }
  if (Path == "/-/dump") {
    return text(200, "application/json", Endpoints.Dump());
  }
  if (Path == "/-/where" && Endpoints.Where) {
    const auto Query = parseWhere(Request.Target);
    return Query ? text(200, "application/json", Endpoints.Where(*Query))
                 : badRequest("expected host, path, method and organisation, "
                              "each once and percent-encoded");
  }
  if (Path == "/-/health") {
    return text(200, "application/json", R"({"status":"ok"})");
  }
  return text(404, "text/plain", "the node has no such endpoint\n");
}

} // namespace magnolia::daemon
