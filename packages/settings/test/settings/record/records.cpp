#include "settings/record/format_record.h"
#include "settings/record/limits.h"
#include "settings/record/parse_record.h"
#include "settings/record/record_key.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <functional>
#include <string>

namespace magnolia::settings {
namespace {

using Json = nlohmann::json;

ServiceRecord sampleService() {
  return {.Service = "catalogue",
          .OperationId = "op-1",
          .Version = "v1",
          .Routes = {{.Prefix = "/bulbs",
                      .IdempotentMethods = {"GET", "PUT"},
                      .Idempotent = {},
                      .TimeoutMs = 250},
                     {.Prefix = "/holds",
                      .IdempotentMethods = {},
                      .Idempotent = false,
                      .TimeoutMs = 0}},
          .RetryRatio = 0.2,
          .ProbeRatio = 0.03,
          .ProbeFloor = 7,
          .HedgePercent = 4};
}

StoredRollout sampleRollout() {
  const auto At = [](int Seconds) {
    return policy::TimePoint(std::chrono::seconds(1'780'000'000 + Seconds));
  };
  StoredRollout Stored;
  Stored.Rollout.Service = "catalogue";
  Stored.Rollout.FromVersion = "v1";
  Stored.Rollout.ToVersion = "v2";
  Stored.Rollout.Id = "move-1";
  Stored.Rollout.Start = At(0);
  Stored.Rollout.Deadline = At(600);
  Stored.Rollout.Phase = policy::RolloutPhase::RolledBack;
  Stored.Rollout.Step = 3;
  Stored.Rollout.StepSince = At(90);
  Stored.Rollout.Share = 0.25;
  Stored.Rollout.EndedAt = At(95);
  Stored.Rollout.EndReason = "route /bulbs fails";
  Stored.OperationId = "op-2";
  Stored.Driver = "node 7";
  return Stored;
}

const ZoneRecord SampleZone{"z1", true, 1'780'000'000'000, "op-3", "amina"};
const ContactRecord SampleContact{"127.0.0.1", 7946, "z1", 12};

// Guards against a field that is lost when a record is written or read.
TEST(Records, RoundTrip) {
  policy::Error Error;
  EXPECT_EQ(parseService(formatService(sampleService()), Error),
            sampleService())
      << Error.Detail;
  EXPECT_EQ(parseZone(formatZone(SampleZone), Error), SampleZone)
      << Error.Detail;
  EXPECT_EQ(parseRollout(formatRollout(sampleRollout()), Error),
            sampleRollout())
      << Error.Detail;
  EXPECT_EQ(parseContact(formatContact(SampleContact), Error), SampleContact)
      << Error.Detail;
}

// Guards against a reason or an operator's name that makes its record
// unreadable for every node.
TEST(Records, LongOrInvalidTextStaysReadable) {
  policy::Error Error;
  StoredRollout Stored = sampleRollout();
  Stored.Rollout.EndReason = std::string(10 * MaxTextSize, '\xff');
  EXPECT_TRUE(parseRollout(formatRollout(Stored), Error)) << Error.Detail;
  ZoneRecord Zone = SampleZone;
  Zone.Operator = std::string(10 * MaxTextSize, 'x');
  EXPECT_TRUE(parseZone(formatZone(Zone), Error)) << Error.Detail;
}

std::string change(const std::string &Value,
                   const std::function<void(Json &)> &Change) {
  Json Document = Json::parse(Value);
  Change(Document);
  return Document.dump();
}

// Guards against nodes that reject the records of a later version.
TEST(Records, UnknownFieldsAreIgnored) {
  policy::Error Error;
  const auto Add = [](Json &Document) { Document["later"] = Json::array({1}); };
  EXPECT_TRUE(parseService(change(formatService(sampleService()), Add), Error));
  EXPECT_TRUE(parseZone(change(formatZone(SampleZone), Add), Error));
  EXPECT_TRUE(parseRollout(change(formatRollout(sampleRollout()), Add), Error));
  EXPECT_TRUE(parseContact(change(formatContact(SampleContact), Add), Error));
}

struct FieldRow {
  const char *GuardsAgainst;
  // Part of the message that names the place.
  const char *Named;
  std::function<void(Json &)> Change;
};

template <typename Parse>
void expectRejected(const std::string &Valid, Parse &&Parser,
                    std::initializer_list<FieldRow> Rows) {
  for (const FieldRow &Row : Rows) {
    policy::Error Error;
    EXPECT_FALSE(Parser(change(Valid, Row.Change), Error)) << Row.GuardsAgainst;
    EXPECT_NE(Error.Detail.find(Row.Named), std::string::npos)
        << Row.GuardsAgainst << ": " << Error.Detail;
  }
}

TEST(Records, WrongServicesAreRejected) {
  expectRejected(
      formatService(sampleService()), parseService,
      {{"a key built from a path", "service",
        [](Json &D) { D["service"] = "../zones/z1"; }},
       {"a version that no backend server can have", "version",
        [](Json &D) { D["version"] = "v 1"; }},
       {"a write that cannot be resolved", "operation_id",
        [](Json &D) { D.erase("operation_id"); }},
       {"retries without a bound", "retry_ratio",
        [](Json &D) { D["retry_ratio"] = 1.5; }},
       {"hedges without a bound", "hedge_percent",
        [](Json &D) { D["hedge_percent"] = 21; }},
       {"a negative probe budget", "probe_floor",
        [](Json &D) { D["probe_floor"] = -1; }},
       {"a number in a text", "probe_ratio",
        [](Json &D) { D["probe_ratio"] = "0.1"; }},
       {"routes of another type", "routes",
        [](Json &D) { D["routes"] = "all"; }},
       {"a route that is no object", "route 2",
        [](Json &D) { D["routes"][1] = 5; }},
       {"two rules for one prefix", "/bulbs",
        [](Json &D) { D["routes"][1] = D["routes"][0]; }},
       {"a method that matches no request", "methods",
        [](Json &D) { D["routes"][0]["idempotent_methods"] = {"get"}; }},
       {"a prefix that matches no path", "prefix",
        [](Json &D) { D["routes"][0]["prefix"] = "bulbs"; }},
       {"a timeout without a bound", "timeout_ms",
        [](Json &D) { D["routes"][0]["timeout_ms"] = MaxTimeoutMs + 1; }},
       {"routes without a bound", "routes", [](Json &D) {
          D["routes"] = Json::array();
          for (std::size_t I = 0; I <= MaxRoutes; ++I) {
            D["routes"].push_back(
                {{"prefix", std::string("/").append(std::to_string(I))}});
          }
        }}});
}

TEST(Records, WrongZonesRolloutsAndContactsAreRejected) {
  expectRejected(
      formatZone(SampleZone), parseZone,
      {{"a zone in service because of a typo", "out",
        [](Json &D) { D["out"] = "yes"; }},
       {"a record without a zone", "zone", [](Json &D) { D.erase("zone"); }}});
  expectRejected(formatRollout(sampleRollout()), parseRollout,
                 {{"a share over the whole traffic", "share",
                   [](Json &D) { D["share"] = 1.01; }},
                  {"a phase of a later version read as a known one", "phase",
                   [](Json &D) { D["phase"] = "paused"; }},
                  {"a rollout without a deadline", "deadline_ms",
                   [](Json &D) { D.erase("deadline_ms"); }},
                  {"a deadline before the start", "deadline_ms",
                   [](Json &D) { D["deadline_ms"] = 1; }},
                  {"a rollout from a version to itself", "same version",
                   [](Json &D) { D["to"] = D["from"]; }}});
  expectRejected(formatContact(SampleContact), parseContact,
                 {{"a port truncated to 16 bits", "gossip_port",
                   [](Json &D) { D["gossip_port"] = 65'536; }}});
}

// Guards against an exception or a large allocation caused by a value.
TEST(Records, ValuesThatAreNoRecordAreRejected) {
  policy::Error Error;
  for (const std::string &Value :
       {std::string(), std::string("{"), std::string("[]"), std::string("null"),
        std::string(MaxRecordSize + 1, ' '),
        std::string("{\"service\":\"\xff\"}")}) {
    EXPECT_FALSE(parseService(Value, Error));
    EXPECT_FALSE(parseRollout(Value, Error));
  }
}

// Guards against two records under one key.
TEST(Records, KeysFollowTheDesign) {
  EXPECT_EQ(serviceKey("a"), "services/a");
  EXPECT_EQ(zoneKey("z"), "zones/z");
  EXPECT_EQ(rolloutKey("a"), "moves/a");
  EXPECT_EQ(contactKey("z", 2), "contacts/z/2");
  for (const char *Wrong : {"", "a/b", ".a", "a b", "ä"}) {
    EXPECT_FALSE(isName(Wrong)) << Wrong;
  }
  EXPECT_TRUE(isName("die-patterns_2.1"));
}

} // namespace
} // namespace magnolia::settings
