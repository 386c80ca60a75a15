#include "daemon/dump/where.h"

#include "daemon/entry/entry_call.h"
#include "daemon/entry/parse_call.h"
#include "daemon/net/clock.h"
#include "policy/admission/admit.h"
#include "policy/hedge/decide_hedge.h"
#include "policy/overload/admit_service.h"
#include "policy/overload/return_delay.h"
#include "policy/route/choose.h"
#include "policy/route/estimate.h"
#include "policy/route/feedback.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <utility>
#include <vector>

namespace magnolia::daemon {

namespace {

using Json = nlohmann::ordered_json;

constexpr std::size_t MaxPathBytes = 4096;
constexpr std::size_t MaxValueBytes = 256;

double inMs(policy::Duration Length) {
  return std::chrono::duration<double, std::milli>(Length).count();
}

Json ageOf(policy::TimePoint At, policy::TimePoint Now) {
  return At == policy::TimePoint{} ? Json(nullptr) : Json(inMs(Now - At));
}

// Decodes %XX. Returns nothing if an encoding is malformed.
std::optional<std::string> decoded(std::string_view Text) {
  constexpr int Hexadecimal = 16;
  std::string Result;
  for (std::size_t I = 0; I < Text.size(); ++I) {
    if (Text[I] != '%') {
      Result.push_back(Text[I]);
      continue;
    }
    const std::string_view Digits = Text.substr(I + 1, 2);
    unsigned char Byte = 0;
    const char *End = Digits.data() + Digits.size();
    const auto [Rest, Fault] =
        std::from_chars(Digits.data(), End, Byte, Hexadecimal);
    if (Digits.size() != 2 || Fault != std::errc() || Rest != End) {
      return std::nullopt;
    }
    Result.push_back(static_cast<char>(Byte));
    I += 2;
  }
  return Result;
}

// Copy of the state of a service by which its requests are decided.
struct ServiceCopy {
  policy::RouteState Route;
  policy::OverloadState Overload;
  policy::HedgeState Hedges;
  std::unordered_map<policy::NodeId, BackendEndpoint> Endpoints;
  std::vector<policy::VersionShare> Shares;
  std::shared_ptr<const ServiceView> View;
};

ServiceCopy copyOf(Entry &Owner, ServiceRuntime &From) {
  const std::lock_guard Lock(From.Mutex);
  return {.Route = From.Route,
          .Overload = From.Overload,
          .Hedges = From.Hedges,
          .Endpoints = From.Endpoints,
          .Shares = versionShares(From, Owner.Use.Overrides),
          .View = From.View};
}

Json rejection(const Dialect &Speaks, policy::ErrorKind Kind,
               std::string_view Detail, policy::RandomEngine &Random) {
  const policy::ErrorEntry &Entry = policy::errorEntry(Kind);
  Json Value = {{"rule", Entry.Name},
                {"status", Speaks.StatusOf(Kind)},
                {"detail", Detail.empty() ? Entry.Meaning : Detail}};
  if (Entry.Retryable && !Speaks.Headers.RetryAfter.empty()) {
    Value["retry_after_s"] =
        std::chrono::duration<double>(policy::returnDelay(Kind, Random))
            .count();
  }
  return Value;
}

// Returns the first property by which the candidate gets no requests, or "ok".
const char *stateOf(const policy::Candidate &Server, bool HasShare) {
  if (Server.Spec.ZoneOut) {
    return "zone_out";
  }
  if (Server.Spec.Draining || Server.Report.Draining) {
    return "draining";
  }
  if (Server.Health.Phase != policy::HealthPhase::Healthy) {
    return "ejected";
  }
  if (!HasShare) {
    return "no_share";
  }
  return Server.Report.ColdStart ? "cold" : "ok";
}

Json candidate(const ServiceCopy &Service, const policy::Candidate &Server,
               policy::TimePoint Now) {
  const policy::CandidateEstimate Expected =
      policy::estimate(Service.Route, Server, Now);
  const bool HasShare =
      Service.Shares.empty() ||
      std::any_of(Service.Shares.begin(), Service.Shares.end(),
                  [&Server](const policy::VersionShare &Entry) {
                    return Entry.Version == Server.Spec.Version &&
                           Entry.Share > 0;
                  });
  Json Value = {{"node", Server.Spec.Node}};
  const auto Found = Service.Endpoints.find(Server.Spec.Node);
  if (Found != Service.Endpoints.end()) {
    Value["address"] = Found->second.Address;
    Value["peer_port"] = Found->second.PeerPort;
    Value["zone"] = Found->second.Zone;
    Value["version"] = Found->second.Version;
  }
  Value["state"] = stateOf(Server, HasShare);
  Value["distance_ms"] = inMs(Server.Spec.Distance);
  Value["in_flight"] = Expected.InFlight;
  Value["limit"] = Expected.Limit;
  Value["full"] = Expected.Full;
  Value["expected_ms"] = inMs(Expected.Finish);
  Value["report_age_ms"] = ageOf(Server.ReportAt, Now);
  Value["latency_age_ms"] = ageOf(Server.LatencyAt, Now);
  return Value;
}

// Returns the decision of the sidecar of this node, on a copy of its state.
Json sidecarDecision(Entry &Owner, const EntryCall::Parameters &Call,
                     bool HasChoice, policy::TimePoint Now,
                     policy::RandomEngine &Random) {
  const Sidecar &Own = Owner.Use.Own;
  if (const auto Refusal = Own.checkBackend(Call.Request)) {
    return rejection(Owner.dialect(), Refusal->Kind, Refusal->Detail, Random);
  }
  policy::AdmissionState Admission = Own.admissionState();
  const policy::AdmissionDecision Decision =
      policy::admit(Admission,
                    {.Deadline = Call.Request.Deadline,
                     .Objective = Call.Request.Objective,
                     .Priority = Call.Request.Priority,
                     .HasChoice = HasChoice},
                    Now);
  switch (Decision.Action) {
  case policy::AdmissionAction::Run:
    return "run";
  case policy::AdmissionAction::Wait:
    return "wait";
  case policy::AdmissionAction::Refuse:
    break;
  }
  return rejection(Owner.dialect(), Decision.Kind, "refused by the sidecar",
                   Random);
}

// Adds the decision of the entry node: the chosen candidate or the rule that
// rejects the request.
void addChoice(Json &Value, Entry &Owner, const EntryCall::Parameters &Call,
               ServiceCopy &Service, policy::TimePoint Now) {
  // A copy, so that the explanation does not change what requests draw.
  policy::RandomEngine Random = threadEngine();
  if (!policy::admitService(Service.Overload, Now, Random)) {
    Value["rejection"] = rejection(
        Owner.dialect(), policy::ErrorKind::Overloaded,
        "the entry node sheds a share of the requests of the service", Random);
    return;
  }
  const policy::LoadReport Own = Owner.Use.Own.load();
  policy::onReport(Service.Route, Owner.Options.Node, Own, Now);
  policy::RouteQuery Query{.Idempotent = Call.Request.Idempotent,
                           .LargeBody =
                               Call.Request.Bulk && !Call.Request.Idempotent,
                           .WorkloadAware = Call.WorkloadAware,
                           .Excluded = {},
                           .Versions = Service.Shares,
                           .Key = {}};
  if (!Call.Request.Idempotent && !Call.Request.IdempotencyKey.empty()) {
    Query.Key = policy::hashOf(Call.Request.IdempotencyKey);
  }
  policy::Error LastError;
  const auto Node =
      policy::choose(Service.Route, Query, Now, Random, LastError);
  Value["candidates"] = Json::array();
  for (const policy::Candidate &Server : Service.Route.Candidates) {
    Value["candidates"].push_back(candidate(Service, Server, Now));
    if (Node && Server.Spec.Node == *Node) {
      Value["choice"] = Value["candidates"].back();
    }
  }
  if (!Node) {
    Value["rejection"] =
        rejection(Owner.dialect(), LastError.Kind, LastError.Detail, Random);
    return;
  }
  if (*Node != Owner.Options.Node) {
    return;
  }
  Value["sidecar"] = sidecarDecision(
      Owner, Call, policy::hasChoice(Service.Route, Query, *Node), Now, Random);
}

Json hedging(const Entry &Owner, const EntryCall::Parameters &Call,
             ServiceCopy &Service, policy::TimePoint Now) {
  const policy::HedgeOptions Options = Owner.hedgeOptions();
  const std::string &Route =
      Call.Request.Route.empty() ? Call.Route : Call.Request.Route;
  const auto Delay = policy::hedgeDelay(Service.Hedges, Route, Options, Now);
  return {{"percent", Service.View->HedgePercent.value_or(Options.Percent)},
          {"delay_ms", Delay ? Json(inMs(*Delay)) : Json(nullptr)},
          {"credit", Service.Hedges.Limit.Credit}};
}

void addService(Json &Value, const ServiceCopy &Service,
                const ClusterView &View) {
  Value["service"] = Service.View->Name;
  Value["zones_out"] = View.ZonesOut;
  if (!Service.View->RolloutId.empty()) {
    Value["rollout"] = {{"id", Service.View->RolloutId},
                        {"old_version", Service.View->OldVersion},
                        {"new_version", Service.View->NewVersion},
                        {"new_share", Service.View->NewShare}};
  }
}

// Adds the route as the table has it: its split and the settings that the
// functions below decide by.
void addRoute(Json &Value, const ClusterView &View, const WhereQuery &Query,
              const EntryCall::Parameters &Call, policy::TimePoint Now) {
  Value["route"] = {{"name", Call.Request.Route},
                    {"prefix", Call.Route},
                    {"idempotent", Call.Request.Idempotent},
                    {"rank", Call.Request.Priority},
                    {"max_attempts", Call.MaxRuns},
                    {"deadline_ms", inMs(Call.Request.Deadline - Now)}};
  if (Call.Request.Objective != policy::TimePoint{}) {
    Value["route"]["objective_ms"] = inMs(Call.Request.Objective - Now);
  }
  const std::string Path = Query.Path.substr(0, Query.Path.find('?'));
  const settings::HostRoute *Route =
      View.Routing ? findRoute(*View.Routing, Query.Host, Path) : nullptr;
  if (Route) {
    Value["split"] = Json::array();
    for (const settings::RouteTarget &Target : Route->Targets) {
      Value["split"].push_back(
          {{"service", Target.Service}, {"weight", Target.Weight}});
    }
  }
}

} // namespace

std::optional<WhereQuery> parseWhere(std::string_view Target) {
  WhereQuery Query;
  const std::pair<std::string_view, std::string *> Fields[] = {
      {"host", &Query.Host},
      {"path", &Query.Path},
      {"method", &Query.Method},
      {"organisation", &Query.Organisation}};
  std::vector<std::string_view> Seen;
  const std::size_t Mark = Target.find('?');
  std::string_view Rest = Mark == std::string_view::npos
                              ? std::string_view()
                              : Target.substr(Mark + 1);
  while (!Rest.empty()) {
    const std::string_view Pair = Rest.substr(0, Rest.find('&'));
    Rest.remove_prefix(std::min(Rest.size(), Pair.size() + 1));
    const std::size_t Equals = Pair.find('=');
    const std::string_view Name = Pair.substr(0, Equals);
    const auto *Field =
        std::find_if(std::begin(Fields), std::end(Fields),
                     [Name](const auto &Known) { return Known.first == Name; });
    auto Value = Equals == std::string_view::npos
                     ? std::nullopt
                     : decoded(Pair.substr(Equals + 1));
    const std::size_t Limit = Name == "path" ? MaxPathBytes : MaxValueBytes;
    if (Field == std::end(Fields) || !Value || Value->size() > Limit ||
        std::find(Seen.begin(), Seen.end(), Name) != Seen.end()) {
      return std::nullopt;
    }
    Seen.push_back(Name);
    *Field->second = *std::move(Value);
  }
  return Query;
}

std::string explainWhere(Entry &Owner, const WhereQuery &Query) {
  const policy::TimePoint Now = now();
  const auto View = Owner.Use.Views.current();
  Json Value = {{"request",
                 {{"host", Query.Host},
                  {"path", Query.Path},
                  {"method", Query.Method},
                  {"organisation", Query.Organisation}}},
                {"view", View->Sequence},
                {"stopping", Owner.stop().has_value()}};
  if (View->Routing) {
    Value["routing_table"] = {{"version", View->Routing->Version},
                              {"outdated", View->RoutingOutdated}};
  }
  HttpRequest Request;
  Request.Method = Query.Method;
  Request.Target = Query.Path;
  Request.Headers = {{"Host", Query.Host}};
  policy::Error LastError;
  auto Call = parseCall(Owner, std::move(Request), Now, LastError);
  if (!Call) {
    policy::RandomEngine Random = threadEngine();
    Value["rejection"] =
        rejection(Owner.dialect(), LastError.Kind, LastError.Detail, Random);
  } else {
    Call->Request.Organisation = Query.Organisation;
    ServiceCopy Service = copyOf(Owner, *Call->Runtime);
    addRoute(Value, *View, Query, *Call, Now);
    addService(Value, Service, *View);
    addChoice(Value, Owner, *Call, Service, Now);
    Value["hedge"] = hedging(Owner, *Call, Service, Now);
  }
  return Value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace magnolia::daemon
