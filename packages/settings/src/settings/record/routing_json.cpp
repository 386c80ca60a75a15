#include "settings/record/routing_json.h"

#include "settings/record/internal/field_reader.h"
#include "settings/record/internal/routing_line.h"
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
  internal::readRouteFields(Fields, Route);
  Route.Idempotent = Fields.flag("idempotent");
  const bool Read = readEach(
      Fields, "targets", MaxRoutingSize, LastError, [&](FieldReader &Entry) {
        Route.Targets.push_back(internal::readTarget(Entry));
        return true;
      });
  if (Read && Route.Targets.empty()) {
    Fields.fail("targets", "a list of at least one service");
  }
  return Read;
}

} // namespace

std::optional<RoutingRecord> parseRoutingDocument(std::string_view Value,
                                                  policy::Error &LastError) {
  FieldReader Fields("routing table", Value, MaxRoutingSize);
  RoutingRecord Routing;
  Routing.Version = Fields.number("version", 0, UINT64_MAX);
  const bool Read =
      readEach(Fields, "routes", MaxRoutingSize, LastError,
               [&](FieldReader &Entry) {
                 return readRoute(Entry, Routing.Routes.emplace_back(),
                                  LastError);
               }) &&
      readEach(Fields, "services", MaxRoutingSize, LastError,
               [&](FieldReader &Entry) {
                 Routing.Services.push_back(internal::readServiceFields(Entry));
                 return true;
               });
  if (!Read || Fields.report(LastError)) {
    return std::nullopt;
  }
  FieldReader Callers("routing table: callers", Fields.object("callers"));
  Routing.Callers = internal::readCallerFields(Callers);
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
  Requested.Service = Fields.text("service", MaxLabelSize);
  Requested.ToVersion = Fields.text("to", MaxLabelSize);
  Requested.DurationMs = Fields.number("duration_ms", 1, MaxRolloutMs);
  if (Fields.report(LastError)) {
    return std::nullopt;
  }
  return Requested;
}

} // namespace magnolia::settings
