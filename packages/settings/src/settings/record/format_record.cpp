#include "settings/record/format_record.h"

#include "settings/record/limits.h"

#include <nlohmann/json.hpp>

#include <chrono>

namespace magnolia::settings {
namespace {

using Json = nlohmann::ordered_json;

// Replaces bytes that are not UTF-8, because the default handler throws.
std::string dump(const Json &Document) {
  return Document.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string truncated(const std::string &Text) {
  return Text.substr(0, MaxTextSize);
}

std::int64_t millisecondsOf(policy::TimePoint Time) {
  return std::chrono::floor<std::chrono::milliseconds>(Time.time_since_epoch())
      .count();
}

Json toJson(const RouteRecord &Route) {
  Json Object{{"prefix", Route.Prefix}};
  if (!Route.IdempotentMethods.empty()) {
    Object["idempotent_methods"] = Route.IdempotentMethods;
  }
  if (Route.Idempotent) {
    Object["idempotent"] = *Route.Idempotent;
  }
  if (Route.TimeoutMs != 0) {
    Object["timeout_ms"] = Route.TimeoutMs;
  }
  return Object;
}

} // namespace

std::string formatService(const ServiceRecord &Service) {
  Json Routes = Json::array();
  for (const RouteRecord &Route : Service.Routes) {
    Routes.push_back(toJson(Route));
  }
  Json Object{{"service", Service.Service},
              {"operation_id", Service.OperationId},
              {"version", Service.Version},
              {"routes", Routes},
              {"retry_ratio", Service.RetryRatio},
              {"probe_ratio", Service.ProbeRatio},
              {"probe_floor", Service.ProbeFloor}};
  if (Service.HedgePercent) {
    Object["hedge_percent"] = *Service.HedgePercent;
  }
  return dump(Object);
}

std::string formatZone(const ZoneRecord &Zone) {
  return dump({{"zone", Zone.Zone},
               {"out", Zone.Out},
               {"since_ms", Zone.SinceMs},
               {"operation_id", Zone.OperationId},
               {"operator", truncated(Zone.Operator)}});
}

std::string formatRollout(const StoredRollout &Stored) {
  const policy::RolloutRecord &Rollout = Stored.Rollout;
  return dump({{"id", Rollout.Id},
               {"service", Rollout.Service},
               {"from", Rollout.FromVersion},
               {"to", Rollout.ToVersion},
               {"start_ms", millisecondsOf(Rollout.Start)},
               {"deadline_ms", millisecondsOf(Rollout.Deadline)},
               {"phase", toString(Rollout.Phase)},
               {"step", Rollout.Step},
               {"step_since_ms", millisecondsOf(Rollout.StepSince)},
               {"share", Rollout.Share},
               {"ended_at_ms", millisecondsOf(Rollout.EndedAt)},
               {"reason", truncated(Rollout.EndReason)},
               {"operation_id", Stored.OperationId},
               {"driver", truncated(Stored.Driver)}});
}

std::string formatContact(const ContactRecord &Contact) {
  return dump({{"address", Contact.Address},
               {"gossip_port", Contact.GossipPort},
               {"zone", Contact.Zone},
               {"incarnation", Contact.Incarnation}});
}

std::string_view toString(policy::RolloutPhase Phase) {
  switch (Phase) {
  case policy::RolloutPhase::Planned:
    return "planned";
  case policy::RolloutPhase::Shifting:
    return "shifting";
  case policy::RolloutPhase::Done:
    return "done";
  case policy::RolloutPhase::RolledBack:
    return "taken_back";
  }
  return "planned";
}

} // namespace magnolia::settings
