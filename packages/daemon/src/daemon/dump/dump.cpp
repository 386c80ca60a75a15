#include "daemon/dump/dump.h"

#include "daemon/entry/entry.h"
#include "daemon/link/link_pacer.h"
#include "daemon/memory/body_memory.h"
#include "daemon/metrics/metrics.h"
#include "daemon/net/clock.h"
#include "daemon/sidecar/sidecar.h"
#include "daemon/view/local_backend.h"
#include "policy/admission/admit.h"
#include "policy/overload/admit_service.h"
#include "policy/probe/next_probe.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace magnolia::daemon {

namespace {

using Json = nlohmann::ordered_json;

double inMs(policy::Duration Length) {
  return std::chrono::duration<double, std::milli>(Length).count();
}

std::string textOf(const Json &Value) {
  return Value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

const char *nameOf(policy::HealthPhase Phase) {
  switch (Phase) {
  case policy::HealthPhase::Healthy:
    return "healthy";
  case policy::HealthPhase::Ejected:
    return "ejected";
  case policy::HealthPhase::Trial:
    return "trial";
  }
  return "";
}

Json candidate(const ServiceRuntime &Runtime, const policy::Candidate &From,
               policy::TimePoint Now) {
  const auto Found = Runtime.Endpoints.find(From.Spec.Node);
  Json Value;
  Value["node"] = From.Spec.Node;
  if (Found != Runtime.Endpoints.end()) {
    Value["address"] = Found->second.Address;
    Value["peer_port"] = Found->second.PeerPort;
    Value["zone"] = Found->second.Zone;
    Value["version"] = Found->second.Version;
  }
  Value["draining"] = From.Spec.Draining;
  Value["zone_out"] = From.Spec.ZoneOut;
  Value["in_flight"] = From.InFlight;
  Value["latency_ms"] = inMs(From.Latency);
  Value["health"] = nameOf(From.Health.Phase);
  Value["report"] = {{"in_flight", From.Report.InFlight},
                     {"limit", From.Report.Limit},
                     {"waiting", From.Report.Waiting},
                     {"latency_ms", inMs(From.Report.Latency)},
                     {"draining", From.Report.Draining},
                     {"cold_start", From.Report.ColdStart},
                     {"link_use_percent", From.Report.LinkUsePercent},
                     {"age_ms", From.ReportAt == policy::TimePoint{}
                                    ? -1.0
                                    : inMs(Now - From.ReportAt)}};
  return Value;
}

Json service(ServiceRuntime &Runtime, policy::TimePoint Now) {
  const std::lock_guard Lock(Runtime.Mutex);
  Json Value;
  if (Runtime.View) {
    Value["move"] = {{"id", Runtime.View->RolloutId},
                     {"old_version", Runtime.View->OldVersion},
                     {"new_version", Runtime.View->NewVersion},
                     {"new_share", Runtime.View->NewShare}};
  }
  const policy::RouteCounters &Counters = Runtime.Route.Counters;
  Value["route"] = {{"median_ms", inMs(Runtime.Route.Median)},
                    {"chosen", Counters.Chosen},
                    {"trials", Counters.Trials},
                    {"ejections", Counters.Ejections},
                    {"ejections_refused", Counters.EjectionsRefused},
                    {"none_eligible", Counters.NoneEligible},
                    {"link_busy", Counters.LinkBusy},
                    {"connect_failed", Counters.ConnectFailed},
                    {"candidates_refused", Counters.CandidatesRefused}};
  Value["retry"] = {{"requests", Runtime.Retries.Requests},
                    {"retries", Runtime.Retries.Retries},
                    {"hedges", Runtime.Retries.Hedges},
                    {"refused", Runtime.Retries.Refused}};
  Value["hedge"] = {{"requests", Runtime.Hedges.Requests},
                    {"sent", Runtime.Hedges.Sent},
                    {"refused_by_limit", Runtime.Hedges.RefusedByLimit},
                    {"refused_other", Runtime.Hedges.RefusedOther},
                    {"routes", Runtime.Hedges.Routes.size()},
                    {"routes_refused", Runtime.Hedges.RoutesRefused}};
  Value["probe"] = {{"requests", Runtime.Probes.Requests},
                    {"probes", Runtime.Probes.Probes},
                    {"allowed", policy::probesAllowed(Runtime.Probes, Now)},
                    {"refused", Runtime.Probes.Refused}};
  Value["overload"] = {
      {"admitted", Runtime.Overload.Admitted},
      {"shed", Runtime.Overload.Shed},
      {"shed_probability", policy::shedProbability(Runtime.Overload, Now)}};
  Value["candidates"] = Json::array();
  for (const policy::Candidate &Next : Runtime.Route.Candidates) {
    Value["candidates"].push_back(candidate(Runtime, Next, Now));
  }
  return Value;
}

} // namespace

void Dump::add(std::string Name, Component Source) {
  const std::lock_guard Lock(Mutex);
  Components[std::move(Name)] = std::move(Source);
}

void Dump::remove(const std::string &Name) {
  const std::lock_guard Lock(Mutex);
  Components.erase(Name);
}

std::string Dump::text() const {
  const std::lock_guard Lock(Mutex);
  std::string Text = "{";
  for (const auto &[Name, Source] : Components) {
    Text += Text.size() > 1 ? "," : "";
    Text += textOf(Json(Name)) + ":" + Source();
  }
  return Text + "}";
}

namespace {

Json routes(const policy::RouteAdmissionState &State, policy::TimePoint Now) {
  Json Value = Json::array();
  for (const auto &[Key, Route] : State.Routes) {
    const policy::RouteEvidence Evidence =
        policy::evidenceOf(Route, State.Options, Now);
    Value.push_back({{"route", Key.first},
                     {"priority", Route.Priority},
                     {"share", Route.Share},
                     {"higher_share", Route.HigherShare},
                     {"tolerated_loss", Route.ToleratedLoss},
                     {"runs", Evidence.Runs},
                     {"losses", Evidence.Losses},
                     {"trust", Evidence.Trust},
                     {"age_ms", inMs(Evidence.Age)},
                     {"promises", Route.Promises.size()},
                     {"shed", Route.Shed}});
  }
  return Value;
}

} // namespace

std::string dumpEntry(Entry &From) {
  const policy::TimePoint Now = now();
  const auto View = From.Use.Views.current();
  Json Value;
  Value["view_sequence"] = View->Sequence;
  Value["zones_out"] = View->ZonesOut;
  Value["idle_peer_connections"] = From.Use.Peers.idle();
  Value["opened_peer_connections"] = From.Use.Peers.opened();
  Value["evidence_dropped"] = From.Use.Responses.dropped();
  Value["routes"] = routes(From.Gate.state(), Now);
  Value["services"] = Json::object();
  for (const auto &[Name, Runtime] : From.Services.all()) {
    Value["services"][Name] = service(*Runtime, Now);
  }
  return textOf(Value);
}

std::string dumpSidecar(const Sidecar &From, const LocalBackend &Backend) {
  const LocalBackendState Own = Backend.state();
  const policy::AdmissionState State = From.admissionState();
  Json Value;
  Value["backend"] = {{"present", Own.Present},
                      {"service", Own.Service},
                      {"version", Own.Version},
                      {"address", Own.Address},
                      {"port", Own.Port},
                      {"slots", Own.Slots},
                      {"connections", Own.Connections},
                      {"draining", Own.Draining}};
  Value["admission"] = {{"in_flight", State.InFlight},
                        {"max_in_flight", State.MaxInFlight},
                        {"limit", policy::limit(State)},
                        {"ramp", State.Ramp},
                        {"waiting", State.Waiting.size()},
                        {"admitted", State.Admitted},
                        {"queued", State.Queued},
                        {"refused", State.Refused},
                        {"expired", State.Expired},
                        {"resets", State.Resets},
                        {"organisations", State.Shares.Credits.size()},
                        {"organisations_refused", State.Shares.Refused},
                        {"latency_ms", inMs(State.Latency)},
                        {"baseline_ms", inMs(State.Baseline)},
                        {"draining", State.Draining},
                        {"backend_incarnation", State.Backend}};
  const LedgerCounts Counts = From.ledgerCounts();
  Value["ledger"] = {
      {"requests", Counts.Requests},     {"keys", Counts.Keys},
      {"duplicates", Counts.Duplicates}, {"fenced", Counts.Fenced},
      {"refused", Counts.Refused},       {"stale", Counts.Stale}};
  return textOf(Value);
}

std::string dumpMetrics(const Metrics &From) {
  Json Value;
  for (std::size_t I = 0; I < CounterCount; ++I) {
    const auto Which = static_cast<Counter>(I);
    Value[std::string(Metrics::name(Which))] = From.value(Which);
  }
  Json Errors = Json::object();
  for (const policy::ErrorEntry &Entry : policy::errorTable()) {
    if (From.errors(Entry.Kind) > 0) {
      Errors[std::string(Entry.Name)] = From.errors(Entry.Kind);
    }
  }
  Value["errors"] = std::move(Errors);
  return textOf(Value);
}

std::string dumpBodyMemory(const BodyMemory &From) {
  const policy::ByteBudget Budget = From.state();
  return textOf(Json{{"total_bytes", Budget.Total},
                     {"held_bytes", Budget.Held},
                     {"peak_bytes", Budget.Peak},
                     {"refused", Budget.Refused}});
}

std::string dumpLink(const LinkPacer &From) {
  const policy::LinkState Link = From.state();
  return textOf(Json{{"bytes_per_second", Link.Options.BytesPerSecond},
                     {"transfers", Link.Transfers},
                     {"mean_body_bytes", Link.MeanBodyBytes},
                     {"accepted", Link.Accepted},
                     {"rejected", Link.Rejected},
                     {"use_percent", From.usePercent(now())}});
}

} // namespace magnolia::daemon
