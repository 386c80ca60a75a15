#include "settings/record/routing_text.h"

#include "settings/record/limits.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

namespace magnolia::settings {
namespace {

RoutingRecord sample() {
  return {.Version = 12,
          .Routes = {{.Name = "r1",
                      .Host = "h.example",
                      .Prefix = "/a/",
                      .Targets = {{.Service = "x", .Weight = 90},
                                  {.Service = "y", .Weight = 0.1}},
                      .Idempotent = true,
                      .TimeoutMs = 1200,
                      .ObjectiveMs = 500,
                      .MaxAttempts = 2,
                      .Priority = 3},
                     {.Name = "r2",
                      .Host = "h.example",
                      .Prefix = "/b",
                      .Targets = {{.Service = "x"}}},
                     {.Name = "r3",
                      .Host = "i.example",
                      .Prefix = "/",
                      .Targets = {{.Service = "y", .Weight = 5}},
                      .TimeoutMs = 7}},
          .Services = {{.Service = "x",
                        .HealthPath = "/health",
                        .Connections = 220,
                        .ColdStartMs = 3000,
                        .ColdPerSecond = 19.5},
                       {.Service = "y"}},
          .Callers = {.BodyBytes = 7, .IdleTimeoutMs = 15'000}};
}

std::vector<std::string> linesOf(const std::string &Text) {
  std::vector<std::string> Lines;
  std::size_t Start = 0;
  for (std::size_t Break = 0; Break != std::string::npos; Start = Break + 1) {
    Break = Text.find('\n', Start);
    Lines.push_back(Text.substr(Start, Break - Start));
  }
  return Lines;
}

// Guards against a field that is lost when a table is written or read.
TEST(RoutingText, RoundTrip) {
  policy::Error Error;
  EXPECT_EQ(parseRouting(formatRouting(sample()), Error), sample())
      << Error.Detail;
  const RoutingRecord Empty{.Version = UINT64_MAX};
  EXPECT_EQ(parseRouting(formatRouting(Empty), Error), Empty) << Error.Detail;
}

// Guards against a format that nodes of another build cannot read, and against
// one that sends defaults.
TEST(RoutingText, LinesHaveTheDocumentedForm) {
  const std::string Service =
      R"({"service":"x","health_path":"/health","connections":220,)"
      R"("cold_start_ms":3000,"cold_per_second":19.5})";
  const std::vector<std::string> Lines = {
      R"({"version":12,"callers":{"body_bytes":7,"idle_timeout_ms":15000}})",
      R"(["h.example","/a/","r1",[["x",90],["y",0.1]],true,1200,500,2,3])",
      R"(["h.example","/b","r2","x"])",
      R"(["i.example","/","r3",[["y",5]],false,7])",
      Service,
      R"({"service":"y"})"};
  EXPECT_EQ(linesOf(formatRouting(sample())), Lines);
}

// Guards against a change of one route that changes other lines, which all
// nodes would have to send and parse.
TEST(RoutingText, OneChangeIsOneLineInAnyOrderOfTheRecord) {
  RoutingRecord Changed = sample();
  Changed.Routes[1].Priority = 1;
  std::reverse(Changed.Routes.begin(), Changed.Routes.end());
  std::reverse(Changed.Services.begin(), Changed.Services.end());
  const auto Before = linesOf(formatRouting(sample()));
  const auto After = linesOf(formatRouting(Changed));
  ASSERT_EQ(Before.size(), After.size());
  for (std::size_t Line = 0; Line < Before.size(); ++Line) {
    EXPECT_EQ(Before[Line] != After[Line], Line == 2) << Line;
  }
}

// Guards against a text of an operator that breaks a line or the table.
TEST(RoutingText, AnyTextStaysInItsLine) {
  RoutingRecord Table = sample();
  for (const char *Text : {"a\nb", "a\r\n", "\"]\n[\"", "\\", "\t\x01\x7f", "ä",
                           "\xe2\x80\xa8", "[", "{\"routes\":[]}"}) {
    Table.Routes[0].Name = Table.Routes[0].Host = Table.Routes[0].Prefix = Text;
    Table.Services[0].HealthPath = Text;
    const std::string Value = formatRouting(Table);
    EXPECT_EQ(linesOf(Value).size(), 6U) << Text;
    policy::Error Error;
    auto Read = parseRouting(Value, Error);
    ASSERT_TRUE(Read) << Text << ": " << Error.Detail;
    std::sort(Read->Routes.begin(), Read->Routes.end(),
              [](const auto &Left, const auto &Right) {
                return Left.TimeoutMs > Right.TimeoutMs ||
                       (Left.TimeoutMs == Right.TimeoutMs &&
                        Left.Name < Right.Name);
              });
    EXPECT_EQ(Read->Routes[0], Table.Routes[0]) << Text;
    EXPECT_EQ(Read->Services, Table.Services) << Text;
  }
  Table.Routes[0].Name = "\xff";
  policy::Error Error;
  EXPECT_TRUE(parseRouting(formatRouting(Table), Error)) << Error.Detail;
}

constexpr const char *PreviousFormat =
    R"({"version":12,"routes":[{"name":"r2","host":"h.example","prefix":"/b",)"
    R"("targets":[{"service":"x","weight":1.0}],"idempotent":false,)"
    R"("timeout_ms":0,"objective_ms":0,"max_attempts":1,"priority":0},)"
    R"({"name":"r1","host":"h.example","prefix":"/a/",)"
    R"("targets":[{"service":"x","weight":90.0},{"service":"y","weight":0.1}],)"
    R"("idempotent":true,"timeout_ms":1200,"objective_ms":500,)"
    R"("max_attempts":2,"priority":3},{"name":"r3","host":"i.example",)"
    R"("prefix":"/","targets":[{"service":"y","weight":5.0}],)"
    R"("idempotent":false,"timeout_ms":7,"objective_ms":0,"max_attempts":1,)"
    R"("priority":0}],"services":[{"service":"x","health_path":"/health",)"
    R"("connections":220,"cold_start_ms":3000,"cold_per_second":19.5},)"
    R"({"service":"y","health_path":"","connections":0,"cold_start_ms":0,)"
    R"("cold_per_second":0.0}],"callers":{"head_bytes":0,"body_bytes":7,)"
    R"("head_timeout_ms":0,"idle_timeout_ms":15000}})";

// Guards against nodes that reject the table of a node of the previous build
// during an upgrade.
TEST(RoutingText, DocumentsOfThePreviousFormatAreRead) {
  policy::Error Error;
  EXPECT_EQ(parseRouting(PreviousFormat, Error), sample()) << Error.Detail;
  EXPECT_EQ(parseRouting(std::string(PreviousFormat) + "\n", Error), sample())
      << Error.Detail;
  EXPECT_EQ(parseRouting("{\n\"version\":12\n}", Error),
            RoutingRecord{.Version = 12})
      << Error.Detail;
}

struct WrongValue {
  const char *GuardsAgainst;
  std::string Value;
  // Parts of the message.
  std::vector<const char *> Named;
};

const std::string Head = "{\"version\":1}\n";
const std::string Good = "[\"h\",\"/\",\"n\",\"s\"]\n";

std::string manyRoutes(std::size_t Count) {
  std::string Value = "{\"version\":1}";
  for (std::size_t Route = 0; Route < Count; ++Route) {
    Value += std::string("\n[\"h\",\"/").append(std::to_string(Route)) +
             "\",\"n\",\"s\"]";
  }
  return Value;
}

TEST(RoutingText, WrongValuesAreRejectedWithTheirPlace) {
  const WrongValue Rows[] = {
      {"no value", "", {"routing table"}},
      {"a truncated document", R"({"version":1,"routes":[)", {"JSON object"}},
      {"a value over the size limit",
       std::string(MaxRoutingSize + 1, ' '),
       {"bytes"}},
      {"a head that is no object", "[]\n" + Good, {"line 1", "object"}},
      {"a table without a version", "{}\n" + Good, {"line 1", "version"}},
      {"a limit of callers without a bound",
       "{\"version\":1,\"callers\":{\"idle_timeout_ms\":600001}}\n" + Good,
       {"line 1", "callers", "idle_timeout_ms"}},
      {"a document of the previous format taken for a table without routes",
       "{\"version\":1,\"routes\":[]}\n" + Good,
       {"line 1", "routes"}},
      {"a truncated line", Head + Good + "[\"h\",\"/", {"line 3", "array"}},
      {"an empty line", Head + "\n" + Good, {"line 2"}},
      {"a line of another kind", Head + "7\n" + Good, {"line 2"}},
      {"a route whose host is no text",
       Head + Good + R"([7,"/","n","s"])",
       {"line 3", "host"}},
      {"a prefix that is no text",
       Head + R"(["h",["/"],"n","s"])",
       {"line 2", "prefix"}},
      {"a route without a name", Head + R"(["h","/"])", {"line 2", "name"}},
      {"a route without a service",
       Head + R"(["h","/","n"])",
       {"line 2", "targets"}},
      {"an empty list of services",
       Head + R"(["h","/","n",[]])",
       {"line 2", "targets"}},
      {"a service that is no text",
       Head + R"(["h","/","n",7])",
       {"line 2", "targets"}},
      {"a target that is no text",
       Head + R"(["h","/","n",[["x",1],[7,1]]])",
       {"line 2", "targets 2", "service"}},
      {"a negative weight",
       Head + R"(["h","/","n",[["x",-1]]])",
       {"line 2", "targets 1", "weight"}},
      {"a flag of another type",
       Head + R"(["h","/","n","s",1])",
       {"line 2", "idempotent"}},
      {"a timeout without a bound",
       Head + R"(["h","/","n","s",true,600001])",
       {"line 2", "timeout_ms"}},
      {"a route that is never tried",
       Head + R"(["h","/","n","s",true,1,1,0])",
       {"line 2", "max_attempts"}},
      {"a negative priority",
       Head + R"(["h","/","n","s",true,1,1,1,-1])",
       {"line 2", "priority"}},
      {"a service without a name",
       Head + Good + R"({"connections":1})",
       {"line 3", "service"}},
      {"a service with a wrong number",
       Head + Good + R"({"service":"s","connections":-1})",
       {"line 3", "connections"}},
      {"routes without a bound", manyRoutes(200'000), {"4194304 bytes"}}};
  for (const WrongValue &Row : Rows) {
    policy::Error Error;
    EXPECT_FALSE(parseRouting(Row.Value, Error)) << Row.GuardsAgainst;
    EXPECT_EQ(Error.Kind, policy::ErrorKind::BadRequest) << Row.GuardsAgainst;
    for (const char *Part : Row.Named) {
      EXPECT_NE(Error.Detail.find(Part), std::string::npos)
          << Row.GuardsAgainst << ": " << Error.Detail;
    }
  }
}

struct LargeTable {
  const char *GuardsAgainst;
  RoutingRecord Table;
};

// Guards against a table that is rejected as a whole because of one text or
// list in it, although its size is allowed.
TEST(RoutingText, OnlyTheWholeSizeIsLimited) {
  const std::string Long(20'000, 'x');
  const HostRoute Usual{
      .Name = "n", .Host = "h", .Prefix = "/", .Targets = {{.Service = "s"}}};
  const auto With = [&Usual](auto Change) {
    HostRoute Route = Usual;
    Change(Route);
    return RoutingRecord{.Version = 1, .Routes = {Route}};
  };
  RoutingRecord ManyRoutes{.Version = 1};
  RoutingRecord ManyServices{.Version = 1};
  for (int I = 0; I < 30'000; ++I) {
    ManyRoutes.Routes.push_back(Usual);
    ManyRoutes.Routes.back().Prefix = "/" + std::to_string(I) + "/";
    ManyServices.Services.push_back({.Service = std::to_string(I)});
  }
  const LargeTable Rows[] = {
      {"a long prefix",
       With([&](HostRoute &Route) { Route.Prefix = "/" + Long + "/"; })},
      {"a long host", With([&](HostRoute &Route) { Route.Host = Long; })},
      {"a long name", With([&](HostRoute &Route) { Route.Name = Long; })},
      {"a route with large bodies",
       With([](HostRoute &Route) { Route.Bulk = true; })},
      {"a route without keys",
       With([](HostRoute &Route) { Route.Public = true; })},
      {"empty texts", With([&](HostRoute &Route) {
         Route.Host = Route.Name = Route.Prefix = "";
       })},
      {"a long service",
       With([&](HostRoute &Route) { Route.Targets = {{.Service = Long}}; })},
      {"a service with any characters", With([&](HostRoute &Route) {
         Route.Targets = {{.Service = "_a/b \xc3\xa9\n"}};
       })},
      {"many targets", With([&](HostRoute &Route) {
         Route.Targets.assign(5000, {.Service = "s", .Weight = 2});
       })},
      {"a long health path",
       {.Version = 1, .Services = {{.Service = Long, .HealthPath = Long}}}},
      {"many routes", ManyRoutes},
      {"many services", ManyServices}};
  for (const LargeTable &Row : Rows) {
    policy::Error Error;
    const auto Read = parseRouting(formatRouting(Row.Table), Error);
    ASSERT_TRUE(Read) << Row.GuardsAgainst << ": " << Error.Detail;
    EXPECT_EQ(Read->Routes.size(), Row.Table.Routes.size());
    EXPECT_EQ(Read->Services.size(), Row.Table.Services.size());
    if (Row.Table.Routes.size() == 1) {
      EXPECT_EQ(Read->Routes, Row.Table.Routes) << Row.GuardsAgainst;
    }
  }
}

// Guards against a change of every line in fleets that mix two builds.
TEST(RoutingText, FlagsAreWrittenOnlyIfSet) {
  HostRoute Route{.Name = "n",
                  .Host = "h",
                  .Prefix = "/",
                  .Targets = {{.Service = "s"}},
                  .Priority = 2};
  EXPECT_EQ(formatRoute(Route), R"(["h","/","n","s",false,0,0,1,2])");
  Route.Public = true;
  EXPECT_EQ(formatRoute(Route),
            R"(["h","/","n","s",false,0,0,1,2,false,true])");
}

// Guards against nodes that reject the table of a later version.
TEST(RoutingText, UnknownFieldsAreIgnored) {
  policy::Error Error;
  const auto Read = parseRouting(
      "{\"version\":1,\"later\":1}\n[\"h\",\"/\",\"n\",[[\"s\",1,2]],false,0,"
      "0,1,0,false,false,{}]\n{\"service\":\"s\",\"later\":[]}",
      Error);
  ASSERT_TRUE(Read) << Error.Detail;
  EXPECT_EQ(Read->Routes.size(), 1U);
  EXPECT_EQ(Read->Services.size(), 1U);
}

} // namespace
} // namespace magnolia::settings
