#include "daemon/usage/usage_runner.h"

#include "../support/test_node.h"
#include "daemon/control/control_client.h"
#include "daemon/control/gossip_socket.h"
#include "daemon/control/membership_runner.h"
#include "daemon/control/store_worker.h"
#include "daemon/control/task_queue.h"
#include "daemon/net/fiber_pool.h"
#include "daemon/usage/duty_codec.h"
#include "daemon/usage/run_counter.h"
#include "policy/core/error.h"
#include "settings/record/record_key.h"
#include "wire/gossip.pb.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <wire/control.pb.h>

#include <atomic>
#include <chrono>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace magnolia::daemon {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

policy::Member node() {
  return {.Node = 1,
          .Address = "127.0.0.1",
          .PeerPort = 1,
          .ControlPort = test::freePort(),
          .GossipPort = test::freePort(),
          .HttpPort = 1,
          .Region = "r",
          .Zone = "a",
          .Run = 1};
}

HttpRequest format(const UsageCall &Call) {
  const auto Counts = Call.Report.Counts.find("org");
  return {.Method = "POST",
          .Target = "/report",
          .Body = std::string(Call.Holder) + " " + std::to_string(Call.Token) +
                  " " + std::to_string(Call.Report.Window) + " " +
                  std::to_string(
                      Counts == Call.Report.Counts.end() ? 0 : Counts->second)};
}

// The only node of a fleet with a store and a receiver, on a virtual clock.
struct UsageRunnerTest : testing::Test {
  store::StoreOperations operations() {
    store::StoreOperations Made;
    Made.Read = [this](std::string_view, milliseconds,
                       store::StoreError &LastError) {
      ++Reads;
      LastError.Kind = store::StoreErrorKind::NotFound;
      return Record;
    };
    Made.Put =
        [this](const store::PutRequest &Request, milliseconds,
               store::StoreError &LastError) -> std::optional<store::Revision> {
      ++Puts;
      if (Request.Expected != (Record ? Record->ModRevision : 0)) {
        LastError.Kind = store::StoreErrorKind::Conflict;
        return std::nullopt;
      }
      Record = store::Entry{.Key = Request.Key,
                            .Value = Request.Value,
                            .ModRevision = ++Revision};
      return Revision;
    };
    Made.Close = [] {};
    return Made;
  }

  [[nodiscard]] nlohmann::json state() const {
    return nlohmann::json::parse(Runner.dump());
  }

  // Advances the clocks and handles everything that follows from it.
  void step(policy::Duration Time) {
    Passed += Time.count();
    Runner.tick({.Watching = true});
    std::promise<void> Done;
    EXPECT_TRUE(Store.submit(
        [&Done](const store::StoreOperations &) { Done.set_value(); }));
    Done.get_future().wait();
    do {
      Queue.runFor(std::chrono::steady_clock::now() +
                   (state()["sending"] ? milliseconds(10) : milliseconds(0)));
    } while (state()["sending"]);
  }

  policy::TimePoint boot() const {
    return policy::TimePoint(seconds(1000) + policy::Duration(Passed));
  }

  static constexpr policy::UsageOptions Times{};
  static constexpr policy::UsageWindow First = 1000;
  std::atomic<policy::Duration::rep> Passed = 0;
  int Reads = 0;
  int Puts = 0;
  store::Revision Revision = 20;
  std::optional<store::Entry> Record;
  test::ScriptedBackend Receiver{
      [](const std::string &) { return test::plainResponse(""); }};
  policy::Error LastError;
  policy::RandomEngine Random{1};
  TaskQueue Queue{64};
  FiberPool Fibers{1, {}};
  ControlClient Client{test::Key.Bytes, 1, Fibers};
  const policy::Member Self = node();
  std::unique_ptr<GossipSocket> Gossip = GossipSocket::open(
      Self.Address, Self.GossipPort, test::Key,
      [](const wire::GossipDatagram &) {}, LastError);
  MembershipRunner Membership{Self, *Gossip, Client, Queue, Random};
  StoreWorker Store{operations(), [](const store::WatchResult &) {}, 1};
  RunCounter Runs{Times};
  UsageRunner Runner{{.Membership = Membership,
                      .Client = Client,
                      .Queue = Queue,
                      .Store = &Store,
                      .Runs = Runs},
                     {.Address = "127.0.0.1",
                      .Port = Receiver.port(),
                      .Times = Times,
                      .Format = format},
                     {.Boot = [this] { return boot(); },
                      .Wall =
                          [this] {
                            return policy::endOf(First - 1, Times.Window) +
                                   policy::Duration(Passed);
                          }}};
};

// Guards against a node that never becomes the holder, and against reports
// that are not in the store before they are sent.
TEST_F(UsageRunnerTest, RecordsAndSendsEachWindow) {
  // Messages of a sidecar, whose counts arrive twice.
  wire::UsageRequest Request;
  Request.set_incarnation(1);
  for (int Step = 0; Step < 160; ++Step) {
    step(milliseconds(250));
    if (Step == 4) {
      wire::UsageAnswer Answer;
      Request.set_node(9);
      Request.set_sequence(1);
      // This node has no clock, and states the start of 1970.
      wire::UsageWindow &Added = *Request.add_windows();
      Added.set_window(First);
      (*Added.mutable_counts())["org"] = 7;
      Runner.onMessage(Request, Answer);
      Runner.onMessage(Request, Answer);
      EXPECT_EQ(Answer.incarnation(), 1U);
    }
  }
  const auto Reports = Receiver.requests();
  ASSERT_GE(Reports.size(), 6U);
  EXPECT_NE(Reports[0].find("127.0.0.1:1 21 1000 7"), std::string::npos)
      << Reports[0];
  EXPECT_NE(Reports[1].find("127.0.0.1:1 21 1001 0"), std::string::npos)
      << Reports[1];
  ASSERT_TRUE(Record);
  EXPECT_EQ(Record->Key, settings::UsageDutyKey);
  // One call per window, and the read by which the node became the holder.
  EXPECT_EQ(Reads, 1);
  EXPECT_LE(Puts, static_cast<int>(Reports.size()) + 1);
}

// Guards against a holder that resumes and sends although it was replaced.
TEST_F(UsageRunnerTest, AHolderThatWasSuspendedSendsNothing) {
  while (!state()["holding"]) {
    step(milliseconds(250));
  }
  const std::size_t Before = Receiver.requests().size();
  Passed += std::chrono::nanoseconds(seconds(30)).count();
  // Another node has replaced the holder in the meantime.
  policy::Error Reason;
  auto Other = parseDuty(Record->Value, Reason);
  ASSERT_TRUE(Other) << Reason.Detail;
  Other->Holder = "other";
  Other->OperationId = "2-1-1";
  Record->Value = formatDuty(*Other);
  Record->ModRevision = ++Revision;
  step(milliseconds(50));
  step(milliseconds(50));
  EXPECT_FALSE(state()["holding"]);
  EXPECT_EQ(Receiver.requests().size(), Before);
}

} // namespace
} // namespace magnolia::daemon
