#include "../support/test_node.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <atomic>
#include <future>
#include <thread>

namespace magnolia::daemon {
namespace {

using namespace test;
using testing::HasSubstr;

// Dialect whose backend servers announce their cold start, so that several
// requests run at the same time from the beginning.
const Dialect &warmDialect() {
  static const Dialect Made = [] {
    Dialect Changed = nativeDialect();
    Changed.ReportsColdStart = true;
    return Changed;
  }();
  return Made;
}

// A node with a backend server, a caller on one connection.
struct PipelinedEndToEnd : testing::Test {
  void start(ScriptedBackend::Script Script, std::uint32_t Requests = 16) {
    Backend = std::make_unique<ScriptedBackend>(std::move(Script));
    settings::NodeSettings Settings = nodeSettings();
    Settings.PipelineRequests = Requests;
    Settings.Static = {{.Service = "stock",
                        .Address = "127.0.0.1",
                        .PeerPort = Settings.PeerPort,
                        .Zone = "a",
                        .Version = "1"}};
    Entry = std::make_unique<TestNode>(std::move(Settings), Backend->port(),
                                       warmDialect());
    Caller = Entry->connect();
  }

  void send(const std::string &Bytes) const {
    ASSERT_TRUE(sendAll(Caller.fd(), Bytes, {}, now() + TestTimeout));
  }

  // Returns the responses until one has the text.
  [[nodiscard]] std::string readUntil(std::string_view Text) const {
    std::string Received;
    std::string Space(4096, '\0');
    while (Received.find(Text) == std::string::npos) {
      const auto Count = receiveSome(Caller.fd(), Space);
      if (Count < 0 ||
          (Count == 0 && !waitReadable(Caller.fd(), now() + TestTimeout))) {
        break;
      }
      Received.append(Space, 0, static_cast<std::size_t>(Count));
    }
    return Received;
  }

  std::unique_ptr<ScriptedBackend> Backend;
  std::unique_ptr<TestNode> Entry;
  UniqueFd Caller;
};

// Guards against requests of one connection that wait for each other: the first
// one ends only after the last one has.
TEST_F(PipelinedEndToEnd, TheLastRequestMayEndFirst) {
  std::promise<void> LastEnded;
  start([&](const std::string &Request) {
    if (Request.starts_with("GET /1")) {
      EXPECT_EQ(LastEnded.get_future().wait_for(TestTimeout),
                std::future_status::ready);
      return plainResponse("first");
    }
    if (Request.starts_with("GET /2")) {
      LastEnded.set_value();
      return plainResponse("second");
    }
    return plainResponse("third");
  });
  send(request("GET", "/1") + request("GET", "/2") + request("POST", "/3"));
  const std::string Received = readUntil("third");
  EXPECT_LT(Received.find("first"), Received.find("second"));
  EXPECT_LT(Received.find("second"), Received.find("third"));
}

// Guards against requests that keep running after their caller has closed the
// connection, with bytes in front of the close that were not read.
TEST_F(PipelinedEndToEnd, AClosedConnectionCancelsAllItsRequests) {
  std::promise<void> Reached;
  std::atomic<int> Runs = 0;
  start([&](const std::string &) {
    if (++Runs == 2) {
      Reached.set_value();
    }
    return std::string("hang");
  });
  send(request("GET", "/1") + request("GET", "/2") + request("POST", "/3"));
  Reached.get_future().wait();
  send("GET /4");
  Caller.reset();
  // The stop completes only after the requests have ended.
  Entry->Running.beginStop();
  EXPECT_TRUE(Entry->Running.finishStop());
  EXPECT_EQ(Entry->Running.Counts.value(Counter::Cancels), 2U);
  EXPECT_EQ(Runs, 2);
}

// Guards against a request whose time counts from its start: it waits behind
// another one until its deadline has passed, and must not run.
TEST_F(PipelinedEndToEnd, TheDeadlineCountsFromArrival) {
  std::promise<void> Reached;
  std::promise<void> Released;
  const auto Respond = [&](const std::string &Request) {
    if (Request.starts_with("GET /slow")) {
      Reached.set_value();
      Released.get_future().wait();
    }
    return plainResponse("slow");
  };
  start(Respond, 2);
  send(request("GET", "/slow"));
  Reached.get_future().wait();
  send(request("POST", "/late", "", "Magnolia-Deadline-Ms: 1\r\n"));
  // Input behind the request waits for the limit only once it was read.
  while (Entry->Running.Counts.value(Counter::PipelinePauses) == 0) {
    send("\r\n");
    std::this_thread::yield();
  }
  const policy::TimePoint Late = now() + std::chrono::milliseconds(1);
  while (now() <= Late) {
    std::this_thread::yield();
  }
  Released.set_value();
  const std::string Received = readUntil("\"run\":");
  EXPECT_THAT(Received, HasSubstr("Magnolia-Error: DeadlineExceededNotRun"));
  EXPECT_THAT(Received, HasSubstr("Magnolia-Run: no"));
  EXPECT_EQ(Backend->requests().size(), 1U);
}

} // namespace
} // namespace magnolia::daemon
