#include "../support/test_node.h"

#include "wire/peer.pb.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <atomic>
#include <condition_variable>
#include <future>
#include <thread>

namespace magnolia::daemon {
namespace {

using namespace test;
using testing::HasSubstr;

std::string bodyOf(const std::string &Response) {
  return Response.substr(Response.find("\r\n\r\n") + 4);
}

// An entry node without a backend server, and a node whose sidecar has one.
struct EndToEnd : testing::Test {
  void start(ScriptedBackend::Script Script) {
    Backend = std::make_unique<ScriptedBackend>(std::move(Script));
    BackendNode = std::make_unique<TestNode>(nodeSettings(), Backend->port());
    startEntry(BackendNode->Running.Settings.PeerPort);
  }

  void startEntry(std::uint16_t PeerPort) {
    settings::NodeSettings Settings = nodeSettings();
    Settings.Static = {{.Service = "stock",
                        .Address = "127.0.0.1",
                        .PeerPort = PeerPort,
                        .Zone = "a",
                        .Version = "1"}};
    EntryNode = std::make_unique<TestNode>(std::move(Settings));
  }

  [[nodiscard]] std::uint64_t count(Counter Which) const {
    return EntryNode->Running.Counts.value(Which);
  }

  std::unique_ptr<ScriptedBackend> Backend;
  std::unique_ptr<TestNode> BackendNode;
  std::unique_ptr<TestNode> EntryNode;
};

// Guards against bodies that are truncated, mixed up or modified in transit, in
// both directions and split over several frames.
TEST_F(EndToEnd, BodiesArriveUnmodified) {
  start([](const std::string &Request) {
    return plainResponse(bodyOf(Request));
  });
  for (const std::size_t Size :
       {0UL, 1UL, 262'143UL, 262'144UL, 262'145UL, std::size_t{5} << 20}) {
    std::string Body(Size, 'a');
    for (std::size_t I = 0; I < Size; I += 1000) {
      Body[I] = static_cast<char>('a' + I / 1000 % 26);
    }
    const std::string Response = EntryNode->ask(request("PUT", "/", Body));
    EXPECT_THAT(Response.substr(0, 15), "HTTP/1.1 200 OK") << Size;
    EXPECT_TRUE(bodyOf(Response) == Body) << Size;
  }
}

struct FaultRow {
  const char *Failure;
  std::string Request;
  const char *Status;
  const char *Header;
};

TEST_F(EndToEnd, CallerFaultTable) {
  start([](const std::string &) { return plainResponse("ok"); });
  const FaultRow Rows[] = {
      {"a request routed to an unknown service",
       "GET / HTTP/1.1\r\nMagnolia-Service: none\r\n\r\n", "404",
       "Magnolia-Error: UnknownService"},
      {"a request without a service", "GET / HTTP/1.1\r\n\r\n", "400",
       "Magnolia-Error: BadRequest"},
      {"a loop of calls", request("GET", "/", "", "Magnolia-Hops: 17\r\n"),
       "508", "Magnolia-Error: TooManyHops"},
      {"a malformed deadline treated as absent",
       request("GET", "/", "", "Magnolia-Deadline-Ms: soon\r\n"), "400",
       "Magnolia-Error: BadRequest"},
      {"a request that runs after its deadline",
       request("GET", "/", "", "Magnolia-Deadline-Ms: 0\r\n"), "504",
       "Magnolia-Error: DeadlineExceededNotRun"},
      {"a body over the limit",
       "PUT / HTTP/1.1\r\nMagnolia-Service: stock\r\nContent-Length: "
       "8388609\r\n\r\n",
       "413", "Magnolia-Error: BodyTooLarge"},
      {"garbage", "garbage\r\n\r\n", "400", "Magnolia-Error: BadRequest"},
      {"a tunnel through the node", request("CONNECT", "a:1"), "400",
       "Magnolia-Error: BadRequest"},
      {"a service request handled as a local endpoint",
       request("GET", "/-/health"), "200", "\r\n\r\nok"},
      {"a missing local endpoint", "GET /-/health HTTP/1.1\r\n\r\n", "200",
       "{\"status\":\"ok\"}"},
      {"an announcement out of range",
       "POST /-/backend HTTP/1.1\r\nContent-Length: 32\r\n\r\n"
       R"({"service":"s","port":65536    })",
       "400", "port (1 to 65535)"},
  };
  for (const FaultRow &Row : Rows) {
    const std::string Response = EntryNode->ask(Row.Request);
    EXPECT_THAT(Response.substr(0, 12), HasSubstr(Row.Status)) << Row.Failure;
    EXPECT_THAT(Response, HasSubstr(Row.Header)) << Row.Failure;
  }
  EXPECT_EQ(Backend->requests().size(), 1U);
}

// Guards against a network hop when the local backend server is chosen.
TEST_F(EndToEnd, LocalBackendServerNeedsNoPeerConnection) {
  Backend = std::make_unique<ScriptedBackend>(
      [](const std::string &) { return plainResponse("ok"); });
  settings::NodeSettings Settings = nodeSettings();
  Settings.Static = {{.Service = "stock",
                      .Address = "127.0.0.1",
                      .PeerPort = Settings.PeerPort,
                      .Zone = "a",
                      .Version = "1"}};
  EntryNode = std::make_unique<TestNode>(std::move(Settings), Backend->port());
  EXPECT_EQ(bodyOf(EntryNode->ask(request("GET", "/"))), "ok");
  EXPECT_EQ(count(Counter::LocalAttempts), 1U);
  EXPECT_EQ(count(Counter::Attempts), 0U);
}

// Guards against a request that is lost or run again if the sidecar does not
// accept connections.
TEST_F(EndToEnd, MissingSidecarIsNotRun) {
  startEntry(nodeSettings().PeerPort);
  const std::string Response = EntryNode->ask(request("POST", "/"));
  EXPECT_THAT(Response, HasSubstr("Magnolia-Run: no"));
  EXPECT_THAT(Response, HasSubstr("Magnolia-Error: BackendConnectFailed"));
}

// Accepts peer connections and completes the handshake, but responds to no
// requests or pings, like a sidecar whose connection became unresponsive.
struct UnresponsiveSidecar {
  explicit UnresponsiveSidecar(bool RespondsToFences)
      : RespondsToFences(RespondsToFences),
        Server({.Address = "127.0.0.1",
                .Port = 0,
                .Maximum = 8,
                .Serve = [this](Session &S) { serve(S); },
                .Refuse = {}}) {
    policy::Error LastError;
    Started = Server.start(LastError);
    Own = {.Node = policy::nodeIdOf("127.0.0.1", Server.port()),
           .Run = 1,
           .Key = Key};
  }

  void serve(Session &Accepted) {
    PeerConnection Connection(Accepted.fd());
    if (!handshakeAsServer(Connection, Own, now() + TestTimeout)) {
      return;
    }
    wire::PeerFrame Frame;
    while (Connection.await(Frame, now() + TestTimeout) ==
           ReceiveStatus::Frame) {
      if (Frame.has_fence() && RespondsToFences) {
        wire::PeerFrame Response;
        *Response.mutable_fence_result()->mutable_id() = Frame.fence().id();
        Response.mutable_fence_result()->set_never_run(NeverRun);
        if (!Connection.send(Response, now() + TestTimeout)) {
          return;
        }
      }
    }
  }

  const bool RespondsToFences;
  bool NeverRun = true;
  bool Started = false;
  PeerIdentity Own;
  ConnectionServer Server;
};

struct UnresponsiveRow {
  const char *Failure;
  bool RespondsToFences;
  bool NeverRun;
  const char *Run;
  Counter Result;
};

TEST_F(EndToEnd, UnresponsiveSidecarFollowsTheFencingRule) {
  const UnresponsiveRow Rows[] = {
      {"a request that did not run reported as possibly run", true, true,
       "Magnolia-Run: no", Counter::FencesNeverRun},
      {"a started request reported as not run", true, false,
       "Magnolia-Run: unknown", Counter::FencesStarted},
      {"a fence without a response treated as proof", false, false,
       "Magnolia-Run: unknown", Counter::FencesSilent},
  };
  for (const UnresponsiveRow &Row : Rows) {
    UnresponsiveSidecar Silent(Row.RespondsToFences);
    Silent.NeverRun = Row.NeverRun;
    startEntry(Silent.Server.port());
    EXPECT_THAT(EntryNode->ask(request("POST", "/")), HasSubstr(Row.Run))
        << Row.Failure;
    EXPECT_EQ(count(Row.Result), 1U) << Row.Failure;
    EXPECT_EQ(count(Counter::SilentConnections), 1U) << Row.Failure;
  }
}

// Guards against a planned stop that interrupts a request in flight, and
// against a stopping node that accepts new requests for its backend server.
TEST_F(EndToEnd, StopWaitsForRequestsInFlight) {
  std::promise<void> Reached;
  std::promise<void> Released;
  std::shared_future<void> Release = Released.get_future().share();
  start([&, Release](const std::string &Request) {
    if (Request.starts_with("POST /slow")) {
      Reached.set_value();
      Release.wait();
    }
    return plainResponse("done");
  });
  const UniqueFd Slow = EntryNode->connect();
  ASSERT_TRUE(
      sendAll(Slow.fd(), request("POST", "/slow"), {}, now() + TestTimeout));
  Reached.get_future().wait();
  BackendNode->Running.beginStop();
  BackendNode->Running.beginDrain();
  EXPECT_THAT(EntryNode->ask(request("POST", "/new")),
              HasSubstr("Magnolia-Error: Draining"));
  std::future<bool> Stopped = std::async(
      std::launch::async, [this] { return BackendNode->Running.finishStop(); });
  Released.set_value();
  EXPECT_EQ(bodyOf(TestNode::readResponse(Slow.fd())), "done");
  EXPECT_TRUE(Stopped.get());
  EntryNode->Running.beginStop();
  EXPECT_TRUE(EntryNode->Running.finishStop());
}

// Guards against bodies of callers that together take more than the memory of a
// node, which ends with all its requests.
TEST_F(EndToEnd, BodiesOverTheMemoryAreRejectedAsNotRun) {
  start([](const std::string &) { return plainResponse("ok"); });
  settings::NodeSettings Settings = EntryNode->Running.Settings;
  Settings.PeerPort = freePort();
  Settings.BodyMemory = std::size_t{2} << 20;
  const TestNode Small(std::move(Settings));
  const std::string Large(std::size_t{1} << 20, 'x');
  const std::string Rejected = Small.ask(request("POST", "/", Large));
  EXPECT_THAT(Rejected, HasSubstr("Magnolia-Error: Overloaded"));
  EXPECT_THAT(Rejected, HasSubstr("Magnolia-Run: no"));
  EXPECT_THAT(Rejected, HasSubstr("Connection: close"));
  EXPECT_THAT(Small.ask("POST / HTTP/1.1\r\nMagnolia-Service: stock\r\n"
                        "Transfer-Encoding: chunked\r\n\r\n100000\r\n" +
                        Large + "\r\n0\r\n\r\n"),
              HasSubstr("Magnolia-Run: no"));
  EXPECT_EQ(Backend->requests().size(), 0U);
  // Half of it fits, and a usual request does.
  EXPECT_EQ(
      bodyOf(Small.ask(request("POST", "/", Large.substr(Large.size() / 2)))),
      "ok");
  EXPECT_EQ(bodyOf(Small.ask(request("POST", "/", "small"))), "ok");
  EXPECT_EQ(Small.Running.Bodies.state().Held, 0U);
}

// Guards against a sidecar that takes bodies of requests over its memory, and
// against an entry node that takes such responses.
TEST_F(EndToEnd, BodiesOverTheMemoryOfOneNodeEndTheirRequestOnly) {
  const std::string Large(std::size_t{1} << 20, 'x');
  start([&Large](const std::string &Request) {
    return plainResponse(Request.starts_with("GET /large") ? Large : "ok");
  });
  settings::NodeSettings Small = nodeSettings();
  Small.BodyMemory = std::size_t{2} << 20;
  BackendNode = std::make_unique<TestNode>(Small, Backend->port());
  startEntry(Small.PeerPort);
  const std::string Sent = EntryNode->ask(request("POST", "/", Large));
  EXPECT_THAT(Sent, HasSubstr("Magnolia-Error: Overloaded"));
  EXPECT_THAT(Sent, HasSubstr("Magnolia-Run: no"));
  EXPECT_EQ(Backend->requests().size(), 0U);
  EXPECT_THAT(EntryNode->ask(request("GET", "/large")),
              HasSubstr("Magnolia-Error: AnswerTooLarge"));
  EXPECT_EQ(bodyOf(EntryNode->ask(request("POST", "/", "small"))), "ok");
  EXPECT_EQ(BackendNode->Running.Bodies.state().Held, 0U);

  BackendNode = std::make_unique<TestNode>(nodeSettings(), Backend->port());
  startEntry(BackendNode->Running.Settings.PeerPort);
  settings::NodeSettings SmallEntry = EntryNode->Running.Settings;
  SmallEntry.PeerPort = freePort();
  SmallEntry.BodyMemory = std::size_t{2} << 20;
  const TestNode Entry(std::move(SmallEntry));
  EXPECT_THAT(Entry.ask(request("GET", "/large")),
              HasSubstr("Magnolia-Error: AnswerTooLarge"));
  EXPECT_EQ(bodyOf(Entry.ask(request("POST", "/", "small"))), "ok");
  EXPECT_EQ(Entry.Running.Bodies.state().Held, 0U);
}

// Guards against requests that arrive late in a planned stop, run, and are cut
// without a response when the node ends.
TEST_F(EndToEnd, AStoppingNodeRejectsWhatCannotEndInTime) {
  start([](const std::string &) { return plainResponse("ok"); });
  settings::NodeSettings Settings = EntryNode->Running.Settings;
  Settings.PeerPort = freePort();
  Settings.ShutdownTimeout = std::chrono::milliseconds(5000);
  TestNode Stopping(std::move(Settings));
  Stopping.Running.beginStop();
  const std::string Late =
      Stopping.ask(request("POST", "/", "", "Magnolia-Deadline-Ms: 9000\r\n"));
  EXPECT_THAT(Late, HasSubstr("Magnolia-Error: Shutdown"));
  EXPECT_THAT(Late, HasSubstr("Magnolia-Run: no"));
  EXPECT_THAT(Late, HasSubstr("Connection: close"));
  EXPECT_EQ(Backend->requests().size(), 0U);
  EXPECT_EQ(bodyOf(Stopping.ask(
                request("POST", "/", "", "Magnolia-Deadline-Ms: 3000\r\n"))),
            "ok");
  EXPECT_TRUE(Stopping.Running.finishStop());
}

// Guards against a request of another node that a stopping sidecar passes on
// and cuts when it ends.
TEST_F(EndToEnd, AStoppingSidecarRejectsWhatCannotEndInTime) {
  std::atomic<int> Runs = 0;
  start([&Runs](const std::string &) {
    ++Runs;
    return plainResponse("ok");
  });
  settings::NodeSettings Settings = nodeSettings();
  Settings.ShutdownTimeout = std::chrono::milliseconds(5000);
  BackendNode = std::make_unique<TestNode>(Settings, Backend->port());
  startEntry(Settings.PeerPort);
  BackendNode->Running.beginStop();
  const std::string Late = EntryNode->ask(
      request("POST", "/", "", "Magnolia-Deadline-Ms: 9000\r\n"));
  EXPECT_THAT(Late, HasSubstr("503"));
  EXPECT_THAT(Late, HasSubstr("Magnolia-Run: no"));
  EXPECT_EQ(Runs, 0);
  EXPECT_TRUE(BackendNode->Running.finishStop());
}

// Guards against a request from before a stop that a stopping node sends once
// more and cuts when it ends.
TEST_F(EndToEnd, AStoppingNodeDoesNotRetryWhatCannotEndInTime) {
  std::promise<void> Reached;
  std::promise<void> Released;
  std::atomic<int> Runs = 0;
  const auto Refuse = [&](const std::string &) {
    if (++Runs == 1) {
      Reached.set_value();
      Released.get_future().wait();
    }
    return std::string("HTTP/1.1 503 Service Unavailable\r\n"
                       "Backend-Shed: 1\r\nContent-Length: 0\r\n\r\n");
  };
  start(Refuse);
  ScriptedBackend OtherBackend(Refuse);
  TestNode Other(nodeSettings(), OtherBackend.port());
  settings::NodeSettings Settings = EntryNode->Running.Settings;
  Settings.PeerPort = freePort();
  Settings.ShutdownTimeout = std::chrono::milliseconds(5000);
  Settings.RetryBurst = Settings.RetryFloor = 10;
  Settings.Static.push_back(Settings.Static.front());
  Settings.Static.back().PeerPort = Other.Running.Settings.PeerPort;
  TestNode Stopping(std::move(Settings));
  const UniqueFd Caller = Stopping.connect();
  ASSERT_TRUE(sendAll(
      Caller.fd(), request("POST", "/", "", "Magnolia-Deadline-Ms: 9000\r\n"),
      {}, now() + TestTimeout));
  Reached.get_future().wait();
  Stopping.Running.beginStop();
  Released.set_value();
  EXPECT_THAT(TestNode::readResponse(Caller.fd()),
              HasSubstr("Magnolia-Run: no"));
  EXPECT_EQ(Runs, 1);
  EXPECT_TRUE(Stopping.Running.finishStop());
}

// Guards against a request that fails because the node beside its backend
// server stops, although the backend server only needs one more call.
TEST_F(EndToEnd, AStoppingNodeServesTheCallsOfItsBackendServer) {
  std::promise<void> Reached;
  std::promise<void> Released;
  start([&](const std::string &) {
    Reached.set_value();
    Released.get_future().wait();
    return plainResponse(BackendNode->ask(
        "GET /-/health HTTP/1.1\r\nConnection: close\r\n\r\n"));
  });
  const UniqueFd Caller = EntryNode->connect();
  ASSERT_TRUE(
      sendAll(Caller.fd(), request("POST", "/"), {}, now() + TestTimeout));
  Reached.get_future().wait();
  BackendNode->Running.beginStop();
  BackendNode->Running.beginDrain();
  std::future<bool> Stopped = std::async(
      std::launch::async, [this] { return BackendNode->Running.finishStop(); });
  while (BackendNode->Running.acceptsPeers()) {
    std::this_thread::yield();
  }
  Released.set_value();
  EXPECT_THAT(TestNode::readResponse(Caller.fd()),
              HasSubstr("{\"status\":\"ok\"}"));
  EXPECT_TRUE(Stopped.get());
}

// Guards against a request that keeps running after its caller has
// disconnected.
TEST_F(EndToEnd, DisconnectedCallerCancelsItsRequest) {
  std::promise<void> Reached;
  start([&](const std::string &) {
    Reached.set_value();
    return std::string("hang");
  });
  UniqueFd Gone = EntryNode->connect();
  ASSERT_TRUE(
      sendAll(Gone.fd(), request("POST", "/"), {}, now() + TestTimeout));
  Reached.get_future().wait();
  Gone.reset();
  // The stop completes only after the request has ended.
  EntryNode->Running.beginStop();
  EXPECT_TRUE(EntryNode->Running.finishStop());
  EXPECT_EQ(count(Counter::Cancels), 1U);
}

} // namespace
} // namespace magnolia::daemon
