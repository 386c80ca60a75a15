#include "daemon/dump/where.h"

#include "../support/sidecar_fixture.h"

#include "daemon/entry/entry_call.h"
#include "daemon/entry/parse_call.h"
#include "daemon/net/clock.h"
#include "policy/admission/admit.h"
#include "policy/overload/admit_service.h"
#include "policy/route/feedback.h"
#include "settings/record/routing_change.h"
#include "settings/record/routing_lines.h"

#include <nlohmann/json.hpp>

#include <cmath>
#include <random>
#include <sstream>

namespace magnolia::daemon {
namespace {

using namespace test;
using std::chrono::milliseconds;
using Json = nlohmann::json;

constexpr policy::NodeId OwnNode = 1;
constexpr policy::NodeId Other = 2;

// Routes with a timeout of 60 ms and an objective of 50 ms.
constexpr const char *Table =
    "{\"version\":7}"
    "\n[\"h\",\"/private/\",\"private\",\"stock\",true,60,50,1,2]"
    "\n[\"h\",\"/public/\",\"open\",\"stock\",true,60,50,1,1,true,true]"
    "\n{\"organisation\":\"org-a\",\"keys\":[\"key-a\"]}"
    "\n{\"organisation\":\"org-b\",\"keys\":[\"key-b\"],\"priority\":0}";

std::string_view parentOf(std::string_view Id) {
  const std::size_t Dot = Id.rfind('.');
  return Dot == std::string_view::npos ? std::string_view() : Id.substr(0, Dot);
}

Dialect keyedDialect() {
  Dialect Made = nativeDialect();
  Made.RoutesByHost = true;
  Made.KeepsRequestId = true;
  Made.Headers.RequestId = "Id";
  Made.Headers.RetryAfter = "Retry-After";
  Made.Headers.Key = "Key";
  Made.Headers.KeyScheme = "Secret";
  Made.Headers.Organisation = "Org";
  Made.ParentOf = parentOf;
  return Made;
}

// An entry node with its own backend server and one of another node that
// accepts no connections. A request is attempted once, so that its result shows
// the first decision.
struct KeyedNode : SidecarFixture {
  KeyedNode() {
    Own.setWorkloadAware(true);
    startBackend([](const std::string &) {
      return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    });
  }

  void publish(bool WithOther, bool OwnZoneOut = false, bool Outdated = false) {
    policy::Error LastError;
    const auto Change = settings::compareRouting({}, Table, LastError);
    ASSERT_TRUE(Change) << LastError.Detail;
    ClusterView View;
    View.Sequence = ++Published;
    View.RoutingOutdated = Outdated;
    View.Routing = std::make_shared<const RoutingTable>(
        *withChange({}, *Change, LastError));
    ServiceView Stock{.Name = "stock"};
    Stock.Backends = {{.Node = OwnNode, .Zone = "a", .Version = "1"}};
    if (WithOther) {
      Stock.Backends.push_back({.Node = Other,
                                .Address = "127.0.0.1",
                                .PeerPort = 1,
                                .Zone = "b",
                                .Version = "1"});
    }
    View.Services["stock"] = std::make_shared<const ServiceView>(Stock);
    if (OwnZoneOut) {
      View.ZonesOut.insert("a");
    }
    Views.publish(std::move(View));
  }

  Json explain(const std::string &Path, const std::string &Organisation,
               bool Nested = false) {
    return Json::parse(explainWhere(Node, {.Host = "h",
                                           .Path = Path,
                                           .Organisation = Organisation,
                                           .Nested = Nested}));
  }

  // Everything that a request changes, apart from times.
  std::string state() {
    std::ostringstream Text;
    Text << threadEngine() << '\n';
    for (std::size_t I = 0; I < CounterCount; ++I) {
      Text << Counts.value(static_cast<Counter>(I)) << ' ';
    }
    const policy::AdmissionState Admission = Own.admissionState();
    Text << '\n'
         << Admission.LastTicket << ' ' << Admission.Refused << ' '
         << Admission.Expired << ' ' << Admission.Waiting.size() << ' '
         << Admission.InFlight << ' ' << Admission.Shares.Draws << ' '
         << Admission.Shares.ServedPart << '\n';
    for (const auto &[Key, Route] : Node.Gate.state().Routes) {
      Text << Key.first << Key.second << ' ' << Route.Shed << ' '
           << Route.Credit << ' ' << Route.Rate << ' ' << Route.Share << ' '
           << Route.Promises.size() << ' ' << Route.Reports.size() << '\n';
    }
    for (const auto &[Name, Runtime] : Node.Services.all()) {
      const std::lock_guard Lock(Runtime->Mutex);
      Text << Name << ' ' << Runtime->ViewSequence << ' '
           << Runtime->Overload.Admitted << ' ' << Runtime->Overload.Shed << ' '
           << Runtime->Retries.Requests << ' ' << Runtime->Hedges.Requests
           << ' ' << Runtime->Route.Counters.Chosen;
      for (const policy::Candidate &Server : Runtime->Route.Candidates) {
        Text << ' ' << Server.InFlight << ' '
             << Server.ReportAt.time_since_epoch().count();
      }
    }
    return Text.str();
  }

  const Dialect Keyed = keyedDialect();
  std::uint64_t Published = 0;
  ViewHolder Views;
  ShareOverrides Overrides;
  ResponseRecorder Responses;
  PeerPool Peers{{}};
  Entry Node{{.Node = OwnNode,
              .Run = SmallLimits.Run,
              .Deadline = std::chrono::seconds(1),
              .DeadlineMaximum = std::chrono::seconds(1),
              .Speaks = &Keyed,
              .WorkloadAware = policy::WorkloadSetting::Auto,
              .ShedByLosses = true,
              .Services = {.Retry = {.MaxAttempts = 1}}},
             {.Views = Views,
              .Overrides = Overrides,
              .Responses = Responses,
              .Peers = Peers,
              .Own = Own,
              .Counts = Counts}};
};

// Random state of a node and one request, its explanation and its real result.
struct RandomCase : KeyedNode {
  explicit RandomCase(unsigned Seed) : Random(Seed) {
    threadEngine().seed(Seed);
    publish(chance(50), chance(10), chance(20));
    loadSidecar();
    loadRoutes();
    loadService();
    if (chance(10)) {
      Node.beginStop({.Announced = now() + milliseconds(500),
                      .End = now() + milliseconds(chance(50) ? 20 : 900)});
    }
  }

  std::uint32_t below(std::uint32_t End) {
    return static_cast<std::uint32_t>(Random() % End);
  }
  bool chance(std::uint32_t Percent) { return below(100) < Percent; }
  std::string organisation() {
    constexpr const char *Names[] = {"", "org-a", "org-b"};
    return Names[below(3)];
  }

  void loadSidecar() {
    LocalBackendState State = Backend.state();
    State.Slots = 1 + below(3);
    Own.apply(State, now());
    const unsigned Count = below(10);
    for (unsigned I = 0; I < Count; ++I) {
      CallRequest Next = request();
      Next.Organisation = organisation();
      Next.Nested = chance(30);
      Next.Priority = 1 + below(3);
      Next.Objective = now() + milliseconds(chance(50) ? 400 : 2000);
      Held.push_back(Own.admit(Next, now()));
      if (chance(20) && std::holds_alternative<std::monostate>(Held.back())) {
        Own.complete({.Latency = milliseconds(1 + below(40))}, now());
      }
    }
    if (chance(5)) {
      Own.drainNode();
    }
  }

  // The times are half of a step away from the limits of the decisions, so that
  // the few milliseconds up to the real request change none of them.
  void loadRoutes() {
    const policy::TimePoint Start = now() - milliseconds(2550);
    const policy::RouteCounts Lost{.Runs = 50, .Losses = below(50)};
    const int Steps = chance(70) ? 25 : 12;
    for (int I = 0; I < Steps && chance(98); ++I) {
      const policy::TimePoint At = Start + milliseconds(100 * I);
      for (const auto &[Route, Priority] :
           {std::pair("private", 3U), std::pair("private", 1U),
            std::pair("open", 2U)}) {
        (void)Node.Gate.admit({.Route = Route, .Priority = Priority}, At);
        Node.Gate.onCounts(Route, Other, Lost, At);
      }
    }
  }

  void loadService() {
    if (chance(30)) {
      return;
    }
    const auto Runtime = Node.Services.find(*Views.current(), "stock", now());
    const std::lock_guard Lock(Runtime->Mutex);
    if (chance(30)) {
      for (int I = 0; I < 40; ++I) {
        policy::record(Runtime->Overload, chance(40), now());
      }
    }
    if (Runtime->Route.Candidates.size() > 1) {
      policy::onReport(
          Runtime->Route, Other,
          {.InFlight = below(5), .Limit = 4, .Draining = chance(20)}, now());
    }
  }

  // Returns false if too much time passed for a comparison.
  bool compare() {
    const std::string Name = organisation();
    const bool Nested = chance(25);
    const bool Public = chance(30);
    const std::string Path = Public ? "/public/a" : "/private/a";
    const policy::TimePoint Start = now();
    const std::string Before = state();
    Json Told = explain(Path, Name, Nested);
    EXPECT_EQ(state(), Before) << Told;
    policy::Error LastError;
    auto Call =
        parseCall(Node, asCaller(Path, Name, Nested, Public), now(), LastError);
    if (now() - Start > milliseconds(20)) {
      return false;
    }
    if (!Call) {
      EXPECT_FALSE(Told.contains("route"));
      EXPECT_EQ(Told["rejection"]["rule"],
                policy::errorEntry(LastError.Kind).Name);
      return true;
    }
    EXPECT_EQ(Call->Request.Id.Sequence, 1U) << "an explanation took an id";
    EXPECT_EQ(Told["route"]["rank"], Call->Request.Priority);
    EXPECT_EQ(Told["route"]["organisation"], Call->Request.Organisation);
    EXPECT_EQ(Told["route"]["nested"], Call->Request.Nested);
    compareRun(Told, *std::move(Call));
    return true;
  }

  HttpRequest asCaller(const std::string &Path, const std::string &Name,
                       bool Nested, bool Public) {
    HttpRequest Sent;
    Sent.Method = "GET";
    Sent.Target = Path;
    Sent.RemoteAddress = "127.0.0.1";
    Sent.Headers = {{"Host", "h"}, {"Id", Nested ? "p.1" : "q"}};
    if (Nested) {
      const std::uint32_t OfRoute = Public ? 2 : 3;
      (void)Own.running().begin(
          "p",
          {.Organisation = Name, .Priority = Name == "org-b" ? 1 : OfRoute});
    } else if (!Name.empty()) {
      Sent.Headers.push_back({"Key", "Secret key-" + Name.substr(4)});
    }
    return Sent;
  }

  void compareRun(Json Told, EntryCall::Parameters Parameters) {
    const policy::AdmissionState Before = Own.admissionState();
    EntryCall Call(Node, std::move(Parameters));
    const CallResponse Result = Call.run();
    const policy::AdmissionState After = Own.admissionState();
    const auto Kind = Result.Kind ? policy::errorEntry(*Result.Kind).Name
                                  : std::string_view();
    EXPECT_EQ(Told.contains("losses") && !Told["losses"]["admitted"],
              Counts.value(Counter::RequestsShed) == 1);
    EXPECT_EQ(Told.contains("choice") && Told["choice"]["node"] == OwnNode,
              Counts.value(Counter::LocalAttempts) == 1);
    EXPECT_EQ(Told.contains("choice") && Told["choice"]["node"] == Other,
              Counts.value(Counter::PeerConnectFailures) == 1);
    EXPECT_EQ(Told["sidecar"] == "run", After.Admitted > Before.Admitted &&
                                            After.Queued == Before.Queued);
    EXPECT_EQ(Told["sidecar"] == "wait", After.Queued > Before.Queued);
    const Json Rejected =
        Told["sidecar"].is_object() ? Told["sidecar"] : Told["rejection"];
    if (Rejected.is_object()) {
      EXPECT_EQ(Rejected["rule"], Kind) << Told;
      ++Rejections;
    }
    if (Rejected.is_object() && Call.retryAfter()) {
      const std::chrono::duration<double> Real = *Call.retryAfter();
      EXPECT_NEAR(Rejected["retry_after_s"].get<double>(), Real.count(), 0.03);
    }
  }

  policy::RandomEngine Random;
  std::vector<Sidecar::Admission> Held;
  unsigned Rejections = 0;
};

// The fixture is not run by itself.
struct RunnableCase : RandomCase {
  using RandomCase::RandomCase;
  void TestBody() override {}
};

// Guards against an explanation that decides otherwise than traffic, or that
// changes what traffic decides by.
TEST(WhereAgreement, ExplainsWhatRequestsGetOverRandomStates) {
  constexpr unsigned Seeds = 150;
  unsigned Compared = 0;
  unsigned Rejections = 0;
  for (unsigned Seed = 1; Seed <= Seeds; ++Seed) {
    RunnableCase Case(Seed);
    Compared += Case.compare() ? 1 : 0;
    Rejections += Case.Rejections;
    ASSERT_FALSE(testing::Test::HasFailure()) << "seed " << Seed;
  }
  EXPECT_GE(Compared, Seeds / 2);
  EXPECT_GE(Rejections, Seeds / 20);
}

using WhereOrganisation = KeyedNode;

// Guards against a private route that cannot be explained without a key, and
// against an organisation that is ignored.
TEST_F(WhereOrganisation, NeedsNoKey) {
  publish(false);
  Json First = explain("/private/a", "org-a");
  EXPECT_EQ(First["route"]["rank"], 3);
  EXPECT_EQ(First["route"]["organisation"], "org-a");
  EXPECT_EQ(First["sidecar"], "run");
  EXPECT_EQ(First["admission"]["organisation"], "org-a");
  EXPECT_GT(First["admission"]["goes_first_probability"], 0);
  EXPECT_EQ(explain("/private/a", "org-b")["admission"]["rank"], 1);
}

// Guards against an organisation with a typing error that looks like a missing
// key.
TEST_F(WhereOrganisation, UnknownNameIsAnError) {
  publish(false);
  for (const char *Path : {"/private/a", "/public/a"}) {
    Json Answer = explain(Path, "org-c");
    EXPECT_EQ(Answer["error"], "unknown organisation: org-c");
    EXPECT_FALSE(Answer.contains("rejection"));
  }
}

// Guards against an answer other than that to a caller without a key.
TEST_F(WhereOrganisation, PrivateRouteWithoutAName) {
  publish(false);
  Json Final = explain("/private/a", "")["rejection"];
  EXPECT_EQ(Final["rule"], "Unauthorized");
  EXPECT_EQ(Final["status"], 401);
  publish(false, false, true);
  EXPECT_EQ(explain("/private/a", "")["rejection"]["rule"],
            "ConfigurationOutdated");
}

// Guards against a public route whose requests count for an organisation.
TEST_F(WhereOrganisation, PublicRouteHasNone) {
  publish(false);
  for (const char *Name : {"", "org-b"}) {
    Json Answer = explain("/public/a", Name);
    EXPECT_EQ(Answer["route"]["organisation"], "");
    EXPECT_EQ(Answer["route"]["rank"], 2);
    EXPECT_EQ(Answer["route"]["public"], true);
    EXPECT_EQ(Answer["admission"]["goes_first_probability"], 0);
  }
}

// Guards against a nested call that is explained like a request of a caller.
TEST_F(WhereOrganisation, NestedCallGoesFirst) {
  publish(false);
  const policy::TimePoint Now = now();
  for (policy::TimePoint At = Now - milliseconds(2050); At <= Now;
       At += milliseconds(100)) {
    Node.Gate.onCounts("private", 1, {.Runs = 50, .Losses = 50}, At);
    (void)Node.Gate.admit({.Route = "private", .Priority = 3}, At);
  }
  Json Parent = explain("/private/a", "org-a");
  EXPECT_EQ(Parent["losses"]["admitted"], false);
  EXPECT_GT(Parent["losses"]["losses"], 0);
  EXPECT_EQ(Parent["rejection"]["detail"],
            "nested calls of the route find no capacity");
  Json Nested = explain("/private/a", "org-a", true);
  EXPECT_FALSE(Nested.contains("losses"));
  EXPECT_EQ(Nested["sidecar"], "run");
  EXPECT_EQ(Nested["admission"]["rank"], 0);
  EXPECT_EQ(Nested["admission"]["organisation"], "");
}

} // namespace
} // namespace magnolia::daemon
