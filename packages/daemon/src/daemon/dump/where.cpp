#include "daemon/dump/where.h"

#include "daemon/entry/entry_call.h"
#include "daemon/entry/parse_call.h"
#include "daemon/entry/stated_caller.h"
#include "daemon/net/clock.h"
#include "policy/admission/admit.h"
#include "policy/chain/admit_route.h"
#include "policy/chain/plan_return.h"
#include "policy/hedge/decide_hedge.h"
#include "policy/organisation/fair_share.h"
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

// Request that is explained, and the copies of the state that decide about it.
struct Explained {
  Entry &Owner;
  EntryCall::Parameters &Call;
  // Copy that belongs to this request alone.
  ServiceState &Service;
  const std::vector<policy::VersionShare> Shares;
  policy::RouteAdmissionState Gate;
  // Copy of the random engine of this thread: the explanation uses the numbers
  // that the next request draws, without taking them from it.
  policy::RandomEngine &Random;
  policy::TimePoint Now{};
};

Json rejection(const Dialect &Speaks, const policy::Error &Reason,
               policy::Duration ReturnAfter) {
  const policy::ErrorEntry &Entry = policy::errorEntry(Reason.Kind);
  Json Value = {{"rule", Entry.Name},
                {"status", Speaks.StatusOf(Reason.Kind)},
                {"detail", Reason.Detail.empty()
                               ? Entry.Meaning
                               : std::string_view(Reason.Detail)}};
  if (Entry.Retryable && !Speaks.Headers.RetryAfter.empty()) {
    Value["retry_after_s"] = std::chrono::duration<double>(ReturnAfter).count();
  }
  return Value;
}

Json rejection(Explained &Request, const policy::Error &Reason) {
  return rejection(Request.Owner.dialect(), Reason,
                   policy::planReturn(Request.Gate, arrivalOf(Request.Call),
                                      Reason.Kind, Request.Now,
                                      Request.Random));
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

Json candidate(const Explained &Request, const policy::Candidate &Server) {
  const policy::TimePoint Now = Request.Now;
  const policy::CandidateEstimate Expected =
      policy::estimate(Request.Service.Route, Server, Now);
  const bool HasShare =
      Request.Shares.empty() ||
      std::any_of(Request.Shares.begin(), Request.Shares.end(),
                  [&Server](const policy::VersionShare &Entry) {
                    return Entry.Version == Server.Spec.Version &&
                           Entry.Share > 0;
                  });
  Json Value = {{"node", Server.Spec.Node}};
  const auto Found = Request.Service.Endpoints.find(Server.Spec.Node);
  if (Found != Request.Service.Endpoints.end()) {
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

// Adds the decision of the sidecar of this node, on a copy of its state, and
// what it is made by.
void addSidecar(Json &Value, Explained &Request) {
  const Sidecar &Own = Request.Owner.Use.Own;
  const CallRequest &Sent = Request.Call.Request;
  if (const auto Refusal = Own.checkBackend(Sent)) {
    Value["sidecar"] = rejection(Request, *Refusal);
    return;
  }
  policy::AdmissionState State = Own.admissionState();
  (void)policy::expire(State, Request.Now);
  const policy::AdmissionQuery Query = admissionQuery(Sent);
  Value["admission"] = {
      {"organisation", Query.Organisation},
      {"rank", Query.Priority},
      {"nested", Query.Nested},
      {"in_flight", State.InFlight},
      {"limit", policy::limit(State)},
      {"waiting", State.Waiting.size()},
      {"goes_first_probability",
       policy::firstProbability(State.Shares, Query.Organisation)}};
  const policy::AdmissionDecision Decision =
      policy::admit(State, Query, Request.Now);
  switch (Decision.Action) {
  case policy::AdmissionAction::Run:
    Value["sidecar"] = "run";
    return;
  case policy::AdmissionAction::Wait:
    Value["sidecar"] = "wait";
    return;
  case policy::AdmissionAction::Refuse:
    break;
  }
  Value["sidecar"] =
      rejection(Request, {Decision.Kind, "refused by the sidecar"});
}

// Decides as admission by the losses of nested calls does, and adds what the
// decision is made by. Returns false if the request is rejected.
bool addLosses(Json &Value, Explained &Request) {
  const EntryCall::Parameters &Call = Request.Call;
  if (!isShedByLosses(Request.Owner.Options, Call)) {
    return true;
  }
  const policy::TimePoint Now = Request.Now;
  const std::string &Route = Call.Request.Route;
  policy::onRouteCounts(Request.Gate, Route, Request.Owner.Options.Node,
                        Request.Owner.Use.Own.running().counts(Route, Now),
                        Now);
  const policy::RouteDecision Decision =
      policy::admitRoute(Request.Gate, arrivalOf(Call), Now);
  const policy::RouteEvidence &Evidence = Decision.Evidence;
  Value["losses"] = {{"admitted", Decision.Admitted},
                     {"share", Decision.Share},
                     {"higher_share", Decision.HigherShare},
                     {"runs", Evidence.Runs},
                     {"losses", Evidence.Losses},
                     {"trust", Evidence.Trust},
                     {"age_ms", inMs(Evidence.Age)}};
  return Decision.Admitted;
}

// Returns the reason for which the entry node rejects the request before it
// chooses a candidate, or nothing.
std::optional<policy::Error> initialRejection(Json &Value, Explained &Request) {
  CallRequest &Sent = Request.Call.Request;
  if (const auto Stop = Request.Owner.stop()) {
    const auto Deadline = deadlineBeforeStop(Sent, *Stop, Request.Now);
    if (!Deadline) {
      return policy::Error{policy::ErrorKind::Shutdown,
                           "the node stops before the deadline"};
    }
    Sent.Deadline = *Deadline;
  }
  if (!addLosses(Value, Request)) {
    return policy::Error{policy::ErrorKind::Overloaded,
                         "nested calls of the route find no capacity"};
  }
  if (!policy::admitService(Request.Service.Overload, Request.Now,
                            Request.Random)) {
    return policy::Error{
        policy::ErrorKind::Overloaded,
        "the entry node sheds a share of the requests of the service"};
  }
  return std::nullopt;
}

// Adds the decision of the entry node: the chosen candidate or the rule that
// rejects the request.
void addChoice(Json &Value, Explained &Request) {
  if (const auto Reason = initialRejection(Value, Request)) {
    Value["rejection"] = rejection(Request, *Reason);
    return;
  }
  const Entry &Owner = Request.Owner;
  CallRequest &Sent = Request.Call.Request;
  policy::RouteState &Route = Request.Service.Route;
  policy::onReport(Route, Owner.Options.Node, Owner.Use.Own.load(),
                   Request.Now);
  policy::RouteQuery Query = routeQueryOf(Request.Call);
  Query.Versions = Request.Shares;
  policy::Error LastError;
  const auto Node =
      policy::choose(Route, Query, Request.Now, Request.Random, LastError);
  Value["candidates"] = Json::array();
  for (const policy::Candidate &Server : Route.Candidates) {
    Value["candidates"].push_back(candidate(Request, Server));
    if (Node && Server.Spec.Node == *Node) {
      Value["choice"] = Value["candidates"].back();
    }
  }
  if (!Node) {
    Value["rejection"] = rejection(Request, LastError);
    return;
  }
  if (*Node == Owner.Options.Node) {
    Sent.Version = Request.Service.Endpoints.at(*Node).Version;
    Sent.HasChoice = policy::hasChoice(Route, Query, *Node);
    addSidecar(Value, Request);
  }
}

Json hedging(Explained &Request) {
  const policy::HedgeOptions Options = Request.Owner.hedgeOptions();
  const EntryCall::Parameters &Call = Request.Call;
  const std::string &Route =
      Call.Request.Route.empty() ? Call.Route : Call.Request.Route;
  const auto Delay =
      policy::hedgeDelay(Request.Service.Hedges, Route, Options, Request.Now);
  return {
      {"percent", Request.Service.View->HedgePercent.value_or(Options.Percent)},
      {"delay_ms", Delay ? Json(inMs(*Delay)) : Json(nullptr)},
      {"credit", Request.Service.Hedges.Limit.Credit}};
}

void addService(Json &Value, const ServiceState &Service,
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
                    {"organisation", Call.Request.Organisation},
                    {"nested", Call.Request.Nested},
                    {"max_attempts", Call.MaxRuns},
                    {"deadline_ms", inMs(Call.Request.Deadline - Now)}};
  if (Call.Request.Objective != policy::TimePoint{}) {
    Value["route"]["objective_ms"] = inMs(Call.Request.Objective - Now);
  }
  const std::string Path = Query.Path.substr(0, Query.Path.find('?'));
  const settings::HostRoute *Route =
      View.Routing ? findRoute(*View.Routing, Query.Host, Path) : nullptr;
  if (Route) {
    Value["route"]["public"] = Route->Public;
    Value["split"] = Json::array();
    for (const settings::RouteTarget &Target : Route->Targets) {
      Value["split"].push_back(
          {{"service", Target.Service}, {"weight", Target.Weight}});
    }
  }
}

// True if the routing table, or the dialect without one, has no organisation of
// the name. A node without a table cannot tell.
bool isUnknown(const Entry &Owner, const ClusterView &View,
               const std::string &Organisation) {
  if (Organisation.empty()) {
    return false;
  }
  if (!Owner.dialect().RoutesByHost) {
    return true;
  }
  return View.Routing &&
         !View.Routing->Organisations->Organisations.contains(Organisation);
}

std::string textOf(const Json &Value) {
  return Value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

void explainCall(Json &Value, Entry &Owner, const ClusterView &View,
                 const WhereQuery &Query, policy::TimePoint Now) {
  HttpRequest Sent;
  Sent.Method = Query.Method;
  Sent.Target = Query.Path;
  Sent.Headers = {{"Host", Query.Host}};
  policy::RandomEngine Random = threadEngine();
  policy::Error LastError;
  auto Call = parseStatedCall(
      Owner, std::move(Sent),
      {.Organisation = Query.Organisation, .Nested = Query.Nested}, Now, Random,
      LastError);
  if (!Call) {
    Value["rejection"] = rejection(Owner.dialect(), LastError,
                                   policy::returnDelay(LastError.Kind, Random));
    return;
  }
  ServiceRuntime &Service = *Call->Runtime;
  Explained Request{.Owner = Owner,
                    .Call = *Call,
                    .Service = Service,
                    .Shares = versionShares(Service, Owner.Use.Overrides),
                    .Gate = Owner.Gate.state(),
                    .Random = Random,
                    .Now = Now};
  addRoute(Value, View, Query, *Call, Now);
  addService(Value, Service, View);
  addChoice(Value, Request);
  Value["hedge"] = hedging(Request);
}

} // namespace

std::optional<WhereQuery> parseWhere(std::string_view Target) {
  WhereQuery Query;
  std::string Nested = "false";
  const std::pair<std::string_view, std::string *> Fields[] = {
      {"host", &Query.Host},
      {"path", &Query.Path},
      {"method", &Query.Method},
      {"organisation", &Query.Organisation},
      {"nested", &Nested}};
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
  if (Nested != "true" && Nested != "false") {
    return std::nullopt;
  }
  Query.Nested = Nested == "true";
  return Query;
}

std::string explainWhere(Entry &Owner, const WhereQuery &Query) {
  const policy::TimePoint Now = now();
  const auto View = Owner.Use.Views.current();
  Json Value = {{"request",
                 {{"host", Query.Host},
                  {"path", Query.Path},
                  {"method", Query.Method},
                  {"organisation", Query.Organisation},
                  {"nested", Query.Nested}}},
                {"view", View->Sequence},
                {"stopping", Owner.stop().has_value()}};
  if (View->Routing) {
    Value["routing_table"] = {{"version", View->Routing->Version},
                              {"outdated", View->RoutingOutdated}};
  }
  if (isUnknown(Owner, *View, Query.Organisation)) {
    Value["error"] = "unknown organisation: " + Query.Organisation;
    return textOf(Value);
  }
  explainCall(Value, Owner, *View, Query, Now);
  return textOf(Value);
}

} // namespace magnolia::daemon
