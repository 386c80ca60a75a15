#include "../support/scripted_backend.h"
#include "../support/socket_watch.h"

#include "daemon/entry/call_identity.h"

#include "daemon/entry/entry.h"
#include "daemon/entry/http_service.h"
#include "daemon/entry/local_endpoints.h"
#include "daemon/entry/parse_call.h"
#include "daemon/log/log.h"
#include "daemon/net/clock.h"
#include "settings/record/routing_change.h"
#include "settings/record/routing_lines.h"

#include <gtest/gtest.h>

#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <future>
#include <memory>
#include <sstream>
#include <string>
#include <utility>

namespace magnolia::daemon {
namespace {

using policy::ErrorKind;

constexpr const char *Routes =
    "\n[\"h\",\"/\",\"private\",\"stock\",true,0,0,1,2]"
    "\n[\"h\",\"/public/\",\"open\",\"stock\",true,0,0,1,1,false,true]";
constexpr const char *Organisations =
    "\n{\"organisation\":\"org-a\",\"keys\":[\"key-a\",\"key-a2\"]}"
    "\n{\"organisation\":\"org-b\",\"keys\":[\"key-b\"],\"priority\":0}";

// An entry node with organisations whose headers have names of the test.
struct KeyedCall : testing::Test {
  KeyedCall() {
    Routed.RoutesByHost = true;
    Routed.KeepsRequestId = true;
    Routed.Headers.RequestId = "Id";
    Routed.Headers.Key = "Key";
    Routed.Headers.KeyScheme = "Secret";
    Routed.Headers.Organisation = "Org";
    Routed.ParentOf = [](std::string_view Id) {
      const std::size_t Dot = Id.rfind('.');
      return Dot == std::string_view::npos ? std::string_view()
                                           : Id.substr(0, Dot);
    };
  }

  void publish(const std::string &Lines, bool Outdated = false) {
    policy::Error LastError;
    const auto Change =
        settings::compareRouting({}, "{\"version\":7}" + Lines, LastError);
    ASSERT_TRUE(Change) << LastError.Detail;
    auto Table = withChange({}, *Change, LastError);
    ASSERT_TRUE(Table) << LastError.Detail;
    ClusterView View;
    View.Routing = std::make_shared<const RoutingTable>(*std::move(Table));
    View.RoutingOutdated = Outdated;
    ServiceView Stock{.Name = "stock"};
    if (Backend.state().Present) {
      Stock.Backends.push_back({.Node = Node.Options.Node});
    }
    View.Services["stock"] =
        std::make_shared<const ServiceView>(std::move(Stock));
    Views.publish(std::move(View));
  }

  static HttpRequest request(const std::string &Path, HttpHeaders Headers,
                             const std::string &From = "127.0.0.1") {
    HttpRequest Request;
    Request.RemoteAddress = From;
    Request.Method = "GET";
    Request.Target = Path;
    Request.Headers = std::move(Headers);
    Request.Headers.push_back({"Host", "h"});
    return Request;
  }

  std::optional<EntryCall::Parameters>
  parse(const std::string &Path, HttpHeaders Headers,
        const std::string &From = "127.0.0.1") {
    return parseCall(Node, request(Path, std::move(Headers), From), now(),
                     LastError);
  }

  Dialect Routed = nativeDialect();
  policy::Error LastError;
  ViewHolder Views;
  ShareOverrides Overrides;
  ResponseRecorder Responses;
  PeerPool Peers{{}};
  LocalBackend Backend;
  Metrics Counts;
  Sidecar Own{{.Speaks = &Routed}, Backend, Counts};
  Entry Node{{.Node = 1,
              .Deadline = std::chrono::seconds(1),
              .DeadlineMaximum = std::chrono::seconds(1),
              .Speaks = &Routed,
              .Address = "10.0.0.5",
              .CallerAddress = "10.0.0.6"},
             {.Views = Views,
              .Overrides = Overrides,
              .Responses = Responses,
              .Peers = Peers,
              .Own = Own,
              .Counts = Counts}};
};

std::string headerOf(const EntryCall::Parameters &Call, const char *Name) {
  const std::string *Value = findHeader(Call.Request.Headers, Name);
  return Value ? *Value : std::string("-");
}

// Guards against a backend server that sees a key or an organisation that the
// caller made up, and against a rank that is not the organisation's.
TEST_F(KeyedCall, KeyIsReplacedByTheOrganisation) {
  publish(std::string(Routes) + Organisations);
  const auto First =
      parse("/a", {{"KEY", "Secret key-a2"}, {"org", "org-b"}, {"Org", "x"}});
  ASSERT_TRUE(First) << LastError.Detail;
  EXPECT_EQ(First->Request.Organisation, "org-a");
  EXPECT_EQ(First->Request.Priority, 3U);
  EXPECT_EQ(headerOf(*First, "Org"), "org-a");
  EXPECT_EQ(headerOf(*First, "Key"), "-");
  EXPECT_TRUE(First->Key);
  const auto Second = parse("/a", {{"Key", "Secret key-b"}});
  ASSERT_TRUE(Second) << LastError.Detail;
  EXPECT_EQ(Second->Request.Organisation, "org-b");
  EXPECT_EQ(Second->Request.Priority, 1U);
  const auto Open =
      parse("/public/a", {{"Key", "Secret wrong"}, {"Org", "org-a"}});
  ASSERT_TRUE(Open) << LastError.Detail;
  EXPECT_EQ(Open->Request.Organisation, "");
  EXPECT_EQ(Open->Request.Priority, 2U);
  EXPECT_EQ(headerOf(*Open, "Org"), "-");
  EXPECT_EQ(headerOf(*Open, "Key"), "-");
}

// Guards against a deployment without organisations in which a header is
// removed, or a nested call loses its place in front of all others, also if it
// comes from another host.
TEST_F(KeyedCall, WithoutOrganisationsRequestsStayAsTheyAre) {
  publish(Routes);
  (void)Own.running().begin("p", {.Priority = 3});
  for (const char *Path : {"/a", "/public/a"}) {
    for (const char *Id : {"q", "p.1"}) {
      const bool Nested = std::string_view(Id) == "p.1";
      const auto Call =
          parse(Path, {{"Id", Id}, {"Key", "Secret wrong"}, {"Org", "x"}},
                "10.0.0.8");
      ASSERT_TRUE(Call) << LastError.Detail;
      EXPECT_EQ(Call->Request.Organisation, "");
      EXPECT_EQ(headerOf(*Call, "Org"), "x");
      EXPECT_EQ(headerOf(*Call, "Key"), "Secret wrong");
      EXPECT_EQ(Call->Request.Nested, Nested);
      EXPECT_EQ(Call->Request.Priority, Nested                           ? 0U
                                        : std::string_view(Path) == "/a" ? 3U
                                                                         : 2U);
    }
  }
}

// Guards against a nested call that is rejected for its missing key, and
// against a caller that gets in by the id of a request that does not run here.
TEST_F(KeyedCall, NestedCallInheritsFromWhatRunsHere) {
  publish(std::string(Routes) + Organisations);
  const auto Parent =
      Own.running().begin("p", {.Organisation = "org-b", .Priority = 1});
  const auto Nested =
      parse("/a", {{"Id", "p.1"}, {"Org", "org-a"}, {"Key", "Secret key-a"}});
  ASSERT_TRUE(Nested) << LastError.Detail;
  EXPECT_TRUE(Nested->Request.Nested);
  EXPECT_EQ(Nested->Request.Organisation, "org-b");
  EXPECT_EQ(Nested->Request.Priority, 1U);
  EXPECT_EQ(headerOf(*Nested, "Org"), "org-b");
  EXPECT_EQ(headerOf(*Nested, "Key"), "-");
  EXPECT_FALSE(parse("/a", {{"Id", "other.1"}}));
  EXPECT_EQ(LastError.Kind, ErrorKind::Unauthorized);
  Own.running().end(Parent, std::nullopt, {});
  EXPECT_FALSE(parse("/a", {{"Id", "p.1"}}));
}

// Guards against a caller that reaches private routes without a key by the id
// of its own request to a public route, and against a backend server whose
// nested calls are rejected because of the address that it calls from.
TEST_F(KeyedCall, OnlyTheHostOfTheBackendServerMakesNestedCalls) {
  Backend.update({.Service = "stock", .Address = "10.0.0.7"});
  publish(std::string(Routes) + Organisations);
  (void)Own.running().begin("p", {.Priority = 2});
  for (const char *From :
       {"127.0.0.1", "127.9.9.9", "10.0.0.5", "10.0.0.6", "10.0.0.7"}) {
    const auto Call = parse("/a", {{"Id", "p.1"}}, From);
    ASSERT_TRUE(Call) << From << ": " << LastError.Detail;
    EXPECT_TRUE(Call->Request.Nested) << From;
  }
  for (const char *From : {"10.0.0.8", "10.0.0.55", "12.7.0.1", ""}) {
    EXPECT_FALSE(parse("/a", {{"Id", "p.1"}}, From)) << From;
    EXPECT_EQ(LastError.Kind, ErrorKind::Unauthorized) << From;
    const auto Keyed =
        parse("/a", {{"Id", "p.1"}, {"Key", "Secret key-a"}}, From);
    ASSERT_TRUE(Keyed) << From << ": " << LastError.Detail;
    EXPECT_EQ(Keyed->Request.Organisation, "org-a") << From;
    const auto Open = parse("/public/a", {{"Id", "p.1"}}, From);
    ASSERT_TRUE(Open) << From << ": " << LastError.Detail;
    EXPECT_EQ(Open->Request.Priority, 2U) << From;
    EXPECT_FALSE(Keyed->Request.Nested || Open->Request.Nested) << From;
  }
}

// Guards against a request that is served without a valid key, a final 401 from
// a node that does not know the newest keys, and a key in the log or a
// response.
TEST_F(KeyedCall, WrongKeysAreRejectedWithoutATrace) {
  const std::string File =
      testing::TempDir() + "call_identity_" + std::to_string(getpid());
  ASSERT_TRUE(startLog(LogLevel::Debug, File));
  const std::string Long(8192, 'k');
  const HttpHeaders Rows[] = {
      {},
      {{"Key", "Secret hidden-key"}},
      {{"Key", "Secret key-a"}, {"Key", "Secret hidden-key"}},
      {{"Key", "Basic hidden-key"}},
      {{"Key", "Secret "}},
      {{"Key", "Secret hidden-key" + Long}}};
  for (const bool Outdated : {false, true}) {
    publish(std::string(Routes) + Organisations, Outdated);
    for (const HttpHeaders &Headers : Rows) {
      HttpRequest Request = request("/a", Headers);
      Request.Arrived = now();
      test::SocketWatch Caller;
      const HttpResponse Response = serveCaller(
          Node, LocalEndpoints{.Backend = Backend}, std::move(Request), Caller);
      EXPECT_EQ(Response.Status, Outdated ? 503 : 401);
      EXPECT_EQ(findHeader(Response.Headers, "WWW-Authenticate") != nullptr,
                !Outdated);
      EXPECT_EQ(Response.Body.find("hidden-key"), std::string::npos);
    }
  }
  ASSERT_TRUE(startLog(LogLevel::Info, {}));
  std::ifstream Written(File);
  std::stringstream Text;
  Text << Written.rdbuf();
  EXPECT_NE(Text.str().find("request without a valid key"), std::string::npos);
  EXPECT_EQ(Text.str().find("hidden-key"), std::string::npos);
  EXPECT_EQ(Text.str().find("key-a"), std::string::npos);
  (void)std::remove(File.c_str());
}

// Guards against a request that waits at the entry node while its key is
// withdrawn and then runs.
TEST_F(KeyedCall, KeyIsCheckedAgainBeforeAnAttempt) {
  const std::string Rest =
      "\n{\"organisation\":\"org-a\",\"keys\":[\"key-a\"]}";
  for (const char *Key : {"Secret key-a", "Secret key-a2"}) {
    publish(std::string(Routes) + Organisations);
    auto Call = parse("/a", {{"Key", Key}});
    ASSERT_TRUE(Call) << LastError.Detail;
    publish(Routes + Rest);
    EntryCall Waited(Node, *std::move(Call));
    const bool Withdrawn = std::string_view(Key) == "Secret key-a2";
    EXPECT_EQ(Waited.run().Kind,
              Withdrawn ? ErrorKind::Unauthorized : ErrorKind::NoBackendServer)
        << Key;
  }
}

// Guards against a backend server that sees the key, or whose own calls run for
// another organisation than the request that makes them.
TEST_F(KeyedCall, BackendServerSeesTheOrganisation) {
  std::promise<std::optional<CallRequest>> Made;
  test::ScriptedBackend Scripted([&](const std::string &) {
    policy::Error Rejection;
    auto Call =
        parseCall(Node, request("/b", {{"Id", "p.1"}, {"Org", "org-a"}}), now(),
                  Rejection);
    Made.set_value(Call ? std::optional(std::move(Call->Request))
                        : std::nullopt);
    return std::string("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  });
  Backend.update({.Service = "stock",
                  .Address = "127.0.0.1",
                  .Port = Scripted.port(),
                  .Slots = 1,
                  .Present = true});
  Own.apply(Backend.state(), now());
  publish(std::string(Routes) + Organisations);
  HttpRequest Request =
      request("/a", {{"Id", "p"}, {"Key", "Secret key-b"}, {"Org", "org-a"}});
  Request.Arrived = now();
  test::SocketWatch Caller;
  EXPECT_EQ(serveCaller(Node, LocalEndpoints{.Backend = Backend},
                        std::move(Request), Caller)
                .Status,
            200);
  ASSERT_EQ(Scripted.requests().size(), 1U);
  const std::string Seen = Scripted.requests().front();
  EXPECT_NE(Seen.find("Org: org-b\r\n"), std::string::npos) << Seen;
  EXPECT_EQ(Seen.find("org-a"), std::string::npos) << Seen;
  EXPECT_EQ(Seen.find("key-b"), std::string::npos) << Seen;
  const std::optional<CallRequest> Nested = Made.get_future().get();
  ASSERT_TRUE(Nested);
  EXPECT_EQ(Nested->Organisation, "org-b");
  EXPECT_EQ(Nested->Priority, 1U);
  EXPECT_TRUE(Nested->Nested);
}

} // namespace
} // namespace magnolia::daemon
