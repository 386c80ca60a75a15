#include "settings/record/parse_record.h"

#include "settings/record/check_service.h"
#include "settings/record/format_record.h"
#include "settings/record/internal/field_reader.h"
#include "settings/record/limits.h"

#include <chrono>
#include <utility>

namespace magnolia::settings {
namespace {

using internal::FieldReader;
using Json = nlohmann::json;

constexpr std::uint64_t MaxStep = 1000;

policy::TimePoint timeOf(std::uint64_t Milliseconds) {
  return policy::TimePoint(
      std::chrono::milliseconds(static_cast<std::int64_t>(Milliseconds)));
}

policy::TimePoint time(FieldReader &Fields, const char *Name) {
  return timeOf(Fields.number(Name, 0, MaxTimeMs, 0));
}

void readMethods(FieldReader &Fields, RouteRecord &Route) {
  const Json *Methods = Fields.array("idempotent_methods", MaxMethods);
  if (Methods == nullptr) {
    return;
  }
  for (const Json &Method : *Methods) {
    if (!Method.is_string()) {
      Fields.fail("idempotent_methods", "a list of HTTP methods");
      return;
    }
    Route.IdempotentMethods.push_back(Method.get<std::string>());
  }
}

RouteRecord routeOf(FieldReader &Fields) {
  RouteRecord Route;
  Route.Prefix = Fields.text("prefix", MaxPrefixSize);
  readMethods(Fields, Route);
  Route.Idempotent = Fields.optionalFlag("idempotent");
  Route.TimeoutMs = Fields.number("timeout_ms", 0, MaxTimeoutMs, 0);
  return Route;
}

std::optional<policy::RolloutPhase> phaseOf(std::string_view Name) {
  using enum policy::RolloutPhase;
  for (const policy::RolloutPhase Phase :
       {Planned, Shifting, Done, RolledBack}) {
    if (Name == toString(Phase)) {
      return Phase;
    }
  }
  return std::nullopt;
}

void checkRollout(FieldReader &Fields, const policy::RolloutRecord &Rollout) {
  if (Rollout.FromVersion == Rollout.ToVersion) {
    Fields.failWith("\"from\" and \"to\" name the same version");
  }
  if (Rollout.Deadline <= Rollout.Start) {
    Fields.failWith("\"deadline_ms\" is not after \"start_ms\"");
  }
}

} // namespace

std::optional<ServiceRecord> parseService(std::string_view Value,
                                          policy::Error &LastError) {
  FieldReader Fields("service record", Value);
  ServiceRecord Service;
  Service.Service = Fields.name("service");
  Service.OperationId = Fields.text("operation_id", MaxNameSize);
  Service.Version = Fields.optionalText("version", MaxNameSize);
  Service.RetryRatio =
      Fields.real("retry_ratio", MaxRetryRatio, Service.RetryRatio);
  Service.ProbeRatio =
      Fields.real("probe_ratio", MaxProbeRatio, Service.ProbeRatio);
  Service.ProbeFloor =
      Fields.real("probe_floor", MaxProbeFloor, Service.ProbeFloor);
  Service.HedgePercent =
      Fields.optionalNumber("hedge_percent", 0, MaxHedgePercent);
  if (const Json *Routes = Fields.array("routes", MaxRoutes)) {
    for (const Json &Object : *Routes) {
      FieldReader RouteFields("service record: route " +
                                  std::to_string(Service.Routes.size() + 1),
                              Object);
      Service.Routes.push_back(routeOf(RouteFields));
      if (RouteFields.report(LastError)) {
        return std::nullopt;
      }
    }
  }
  if (Fields.report(LastError)) {
    return std::nullopt;
  }
  if (const auto Fault = findFault(Service)) {
    LastError = {policy::ErrorKind::BadRequest,
                 "service record: route \"" + Fault->Route + "\": field \"" +
                     Fault->Field + "\": " + Fault->Detail};
    return std::nullopt;
  }
  return Service;
}

std::optional<ZoneRecord> parseZone(std::string_view Value,
                                    policy::Error &LastError) {
  FieldReader Fields("zone record", Value);
  ZoneRecord Zone;
  Zone.Zone = Fields.text("zone", MaxLabelSize);
  Zone.Out = Fields.flag("out");
  Zone.SinceMs = Fields.number("since_ms", 0, MaxTimeMs);
  Zone.OperationId = Fields.text("operation_id", MaxNameSize);
  Zone.Operator = Fields.optionalText("operator", MaxStoredTextSize);
  if (Fields.report(LastError)) {
    return std::nullopt;
  }
  return Zone;
}

std::optional<StoredRollout> parseRollout(std::string_view Value,
                                          policy::Error &LastError) {
  FieldReader Fields("rollout record", Value);
  StoredRollout Stored;
  policy::RolloutRecord &Rollout = Stored.Rollout;
  Rollout.Id = Fields.text("id", MaxNameSize);
  Rollout.Service = Fields.text("service", MaxLabelSize);
  Rollout.FromVersion = Fields.text("from", MaxLabelSize);
  Rollout.ToVersion = Fields.text("to", MaxLabelSize);
  Rollout.Start = timeOf(Fields.number("start_ms", 0, MaxTimeMs));
  Rollout.Deadline = timeOf(Fields.number("deadline_ms", 0, MaxTimeMs));
  const auto Phase = phaseOf(Fields.text("phase", MaxNameSize));
  if (!Phase) {
    Fields.fail("phase", "planned, shifting, done or taken_back");
  }
  Rollout.Phase = Phase.value_or(policy::RolloutPhase::Planned);
  Rollout.Step =
      static_cast<std::uint32_t>(Fields.number("step", 0, MaxStep, 0));
  Rollout.StepSince = time(Fields, "step_since_ms");
  Rollout.Share = Fields.real("share", 1.0, 0.0);
  Rollout.EndedAt = time(Fields, "ended_at_ms");
  Rollout.EndReason = Fields.optionalText("reason", MaxStoredTextSize);
  Stored.OperationId = Fields.text("operation_id", MaxNameSize);
  Stored.Driver = Fields.optionalText("driver", MaxStoredTextSize);
  checkRollout(Fields, Rollout);
  if (Fields.report(LastError)) {
    return std::nullopt;
  }
  return Stored;
}

std::optional<ContactRecord> parseContact(std::string_view Value,
                                          policy::Error &LastError) {
  FieldReader Fields("contact record", Value);
  ContactRecord Contact;
  Contact.Address = Fields.text("address", MaxTextSize);
  Contact.GossipPort =
      static_cast<std::uint16_t>(Fields.number("gossip_port", 1, MaxPort));
  Contact.Zone = Fields.text("zone", MaxLabelSize);
  Contact.Incarnation = Fields.number("incarnation", 0, UINT64_MAX);
  if (Fields.report(LastError)) {
    return std::nullopt;
  }
  return Contact;
}

} // namespace magnolia::settings
