#include "daemon/control/internal/control_core.h"

#include "daemon/control/clock.h"
#include "daemon/control/gossip_codec.h"
#include "policy/zone/zone.h"
#include "settings/record/format_record.h"

#include <nlohmann/json.hpp>
#include <wire/control.pb.h>
#include <wire/gossip.pb.h>

namespace magnolia::daemon::internal {

namespace {

using Json = nlohmann::json;

std::string_view nameOf(policy::MemberState State) {
  switch (State) {
  case policy::MemberState::Alive:
    return "alive";
  case policy::MemberState::Suspect:
    return "suspect";
  case policy::MemberState::Unreachable:
    return "unreachable";
  case policy::MemberState::Left:
    return "left";
  }
  return "unknown";
}

Json memberJson(const policy::Member &Member) {
  return {{"node", Member.Node},          {"address", Member.Address},
          {"peer_port", Member.PeerPort}, {"region", Member.Region},
          {"zone", Member.Zone},          {"service", Member.Service},
          {"version", Member.Version},    {"incarnation", Member.Run},
          {"beat", Member.RecordVersion}, {"state", nameOf(Member.State)},
          {"draining", Member.Draining}};
}

Json rolloutJson(const policy::RolloutRecord &Rollout, double Share,
                 const policy::Verdict &Held) {
  return {{"id", Rollout.Id},
          {"from", Rollout.FromVersion},
          {"to", Rollout.ToVersion},
          {"phase", settings::toString(Rollout.Phase)},
          {"step", Rollout.Step},
          {"share", Rollout.Share},
          {"effective_share", Share},
          {"revision", Rollout.Revision},
          {"end_reason", Rollout.EndReason},
          {"verdict", Held.Kind == policy::VerdictKind::Bad ? "bad" : "none"},
          {"verdict_reason", Held.Reason}};
}

} // namespace

std::string ControlCore::dump() {
  Json Members = Json::array();
  for (const policy::Member &Member : Membership->members()) {
    Members.push_back(memberJson(Member));
  }
  Json Entries = Json::object();
  for (const auto &[Key, Entry] : Config->table().Entries) {
    Entries[Key] = {{"revision", Entry.Revision},
                    {"tombstone", Entry.Tombstone},
                    {"bytes", Entry.Value.size()}};
  }
  Json Zones = Json::object();
  for (const auto &[Name, Zone] : Records.Zones) {
    Zones[Name] = {{"out", policy::isOut(Zone)},
                   {"weight", policy::zoneWeight(Zone, steadyNow())}};
  }
  Json RolloutList = Json::object();
  for (const auto &[Service, Rollout] : Records.Rollouts) {
    RolloutList[Service] = rolloutJson(
        Rollout, Breakers.share(Service, wallNow()), Breakers.verdict(Service));
  }
  Json Result = {
      {"node", memberJson(Membership->self())},
      {"members", std::move(Members)},
      {"configuration",
       {{"entries", std::move(Entries)},
        {"digest", Config->table().Digest.Whole},
        {"bytes", Config->table().Bytes},
        {"malformed", Records.Malformed}}},
      {"zones", std::move(Zones)},
      {"moves", std::move(RolloutList)},
      {"store",
       {{"watching", Store && Store->isWatching()},
        {"up", Store && Store->isStoreUp()}}},
      {"queue", {{"tasks", Queue.size()}, {"refused", Queue.refused()}}},
  };
  if (Usage) {
    Result["usage"] = Json::parse(Usage->dump());
  }
  return Result.dump();
}

std::string ControlCore::metrics() const {
  std::string Text;
  const auto Add = [&Text](std::string_view Name, std::uint64_t Value) {
    Text += "# TYPE magnolia_control_" + std::string(Name) + " counter\n";
    Text += "magnolia_control_" + std::string(Name) + " " +
            std::to_string(Value) + "\n";
  };
  Add("gossip_bytes_sent_total", Gossip->bytesSent());
  Add("gossip_bytes_received_total", Gossip->bytesReceived());
  Add("gossip_refused_total", Gossip->dropped());
  Add("gossip_oversized_total", Gossip->oversized());
  Add("call_bytes_sent_total", Server->bytesSent() + Client.bytesSent());
  Add("call_bytes_received_total", Server->bytesReceived());
  Add("calls_refused_total", Server->refused());
  Add("calls_not_sent_total", Client.refused());
  Add("tasks_refused_total", Queue.refused());
  const ConfigTraffic &Traffic = Config->traffic();
  Add("config_bytes_sent_total", Traffic.BytesSent);
  Add("config_bytes_received_total", Traffic.BytesReceived);
  Add("config_fetches_total", Traffic.FetchesStarted);
  Add("config_fetches_failed_total", Traffic.FetchesFailed);
  Add("config_fetches_postponed_total", Traffic.FetchesPostponed);
  Add("config_patches_applied_total", Traffic.PatchesApplied);
  Add("config_patches_misfit_total", Traffic.PatchesMisfit);
  std::uint64_t StoreCalls = 0;
  if (Store) {
    for (const auto &Count : Store->counts().Calls) {
      StoreCalls += Count;
    }
  }
  Add("store_calls_total", StoreCalls);
  return Usage ? Text + Usage->metrics() : Text;
}

void ControlCore::fillStatus(wire::ControlBody &Response) const {
  wire::StatusAnswer &Status = *Response.mutable_status_answer();
  Status.set_node(Options.Self.Node);
  Status.set_version(Membership->self().Version);
  for (const policy::Member &Member : Membership->members()) {
    switch (Member.State) {
    case policy::MemberState::Alive:
      Status.set_alive(Status.alive() + 1);
      break;
    case policy::MemberState::Suspect:
      Status.set_suspect(Status.suspect() + 1);
      break;
    case policy::MemberState::Unreachable:
      Status.set_unreachable(Status.unreachable() + 1);
      break;
    case policy::MemberState::Left:
      break;
    }
    *Status.add_members() = toRecord(Member);
  }
  for (const auto &[Key, Entry] : Config->table().Entries) {
    wire::KeyStatus &Added = *Status.add_keys();
    Added.set_key(Key);
    Added.set_revision(Entry.Revision);
  }
}

} // namespace magnolia::daemon::internal
