#include "daemon/control/config_runner.h"

#include "../support/test_node.h"
#include "daemon/control/clock.h"
#include "daemon/control/control_client.h"
#include "daemon/control/control_server.h"
#include "daemon/control/gossip_codec.h"
#include "daemon/control/gossip_socket.h"
#include "daemon/control/membership_runner.h"
#include "daemon/control/task_queue.h"
#include "daemon/net/fiber_pool.h"
#include "policy/config/apply.h"
#include "policy/config/patch.h"
#include "policy/core/error.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <gtest/gtest.h>
#include <memory>
#include <span>
#include <string>
#include <vector>
#include <wire/control.pb.h>
#include <wire/gossip.pb.h>

namespace magnolia::daemon {
namespace {

constexpr const char *Key = "routing/table";
constexpr std::size_t Lines = 2'000;
constexpr std::size_t QueuedTasks = 1'000;
// Pushes, notices and exchanges without a value.
constexpr std::uint64_t SmallBytes = 16'384;

// Value of some 200 KB of which one line depends on the revision.
policy::ConfigEntry version(std::uint64_t Revision) {
  std::string Value;
  for (std::size_t I = 0; I < Lines; ++I) {
    Value += "route " + std::to_string(I) + std::string(90, '.') +
             std::to_string(I == Revision ? 7 : 1) + "\n";
  }
  return {.Key = Key,
          .Revision = Revision,
          .Value = std::move(Value),
          .Tombstone = false};
}

// One node: its control thread's objects, which the test runs itself.
struct Peer {
  explicit Peer(policy::NodeId Node) : Client(test::Key.Bytes, Node, Fibers) {
    Self.Node = Node;
    Self.Address = "127.0.0.1";
    Self.PeerPort = 1;
    Self.HttpPort = 1;
    Self.ControlPort = test::freePort();
    Self.GossipPort = test::freePort();
    Self.Region = "r";
    Self.Zone = "a";
    Self.Run = 1;
    Gossip = GossipSocket::open(
        Self.Address, Self.GossipPort, test::Key,
        [](const wire::GossipDatagram &) {}, LastError);
    Membership = std::make_unique<MembershipRunner>(Self, *Gossip, Client,
                                                    Queue, Random);
    Config = std::make_unique<ConfigRunner>(*Membership, Client, Queue, Random);
    Config->setEntryHandler([this](const policy::ConfigEntry &,
                                   ConfigRunner::Source) { ++Changes; });
    Server = ControlServer::open(
        {.Address = Self.Address, .Port = Self.ControlPort}, test::Key.Bytes,
        [this](wire::ControlBody Body, ControlReply Reply) {
          return Queue.post(
              [this, Body = std::move(Body), Reply = std::move(Reply)] {
                wire::ControlBody Response;
                Handle(Body, Response);
                Reply(std::move(Response));
              });
        },
        Fibers, LastError);
  }
  Peer(const Peer &) = delete;
  Peer &operator=(const Peer &) = delete;
  // Answers the calls that it has accepted.
  ~Peer() {
    Queue.close();
    while (Queue.runFor(std::chrono::steady_clock::now())) {
    }
  }

  void handle(const wire::ControlBody &Body, wire::ControlBody &Response) {
    if (Body.has_push_config()) {
      Config->onPush(Body.push_config(), Body.from(), Response);
    } else if (Body.has_exchange_digest()) {
      Config->onExchange(Body.exchange_digest(), Body.from(), Response);
    } else if (Body.has_fetch_config()) {
      Config->onFetch(Body.fetch_config(), Response);
    }
  }

  [[nodiscard]] std::uint64_t held() const {
    const policy::ConfigEntry *Found = policy::find(Config->table(), Key);
    return Found == nullptr ? 0 : Found->Revision;
  }

  void apply(std::uint64_t Revision, std::uint32_t Rounds) {
    const policy::ConfigEntry Entry = version(Revision);
    Config->apply(std::span(&Entry, 1), ConfigRunner::Source::Store, Rounds);
  }

  policy::Error LastError;
  policy::Member Self;
  policy::RandomEngine Random{1};
  TaskQueue Queue{QueuedTasks};
  int Changes = 0;
  std::function<void(const wire::ControlBody &, wire::ControlBody &)> Handle =
      [this](const wire::ControlBody &Body, wire::ControlBody &Response) {
        handle(Body, Response);
      };
  FiberPool Fibers{1, {}};
  ControlClient Client;
  std::unique_ptr<GossipSocket> Gossip;
  std::unique_ptr<MembershipRunner> Membership;
  std::unique_ptr<ConfigRunner> Config;
  std::unique_ptr<ControlServer> Server;
};

using Peers = std::vector<std::unique_ptr<Peer>>;

// Returns nodes of one zone that know each other.
Peers makePeers(std::size_t Count) {
  Peers Made;
  for (std::size_t I = 0; I < Count; ++I) {
    Made.push_back(std::make_unique<Peer>(I + 1));
    EXPECT_TRUE(Made.back()->Server) << Made.back()->LastError.Detail;
  }
  for (const auto &Left : Made) {
    for (const auto &Right : Made) {
      wire::PullMembersRequest Request;
      *Request.mutable_from() = toRecord(Right->Self);
      wire::ControlBody Response;
      Left->Membership->onPull(Request, Response, steadyNow());
    }
  }
  return Made;
}

// Runs the tasks and ticks of the nodes until the condition holds. Returns
// false if it does not within 10 s.
bool runUntil(const Peers &Nodes, const std::function<bool()> &Condition) {
  const auto End = std::chrono::steady_clock::now() + std::chrono::seconds(10);
  while (!Condition()) {
    if (std::chrono::steady_clock::now() >= End) {
      return false;
    }
    for (const auto &Node : Nodes) {
      Node->Queue.runFor(std::chrono::steady_clock::now() +
                         std::chrono::milliseconds(1));
      Node->Config->tick(steadyNow());
    }
  }
  return true;
}

bool allHold(const Peers &Nodes, std::uint64_t Revision) {
  return std::all_of(Nodes.begin(), Nodes.end(), [&](const auto &Node) {
    return Node->held() == Revision;
  });
}

// Guards against a table that each node sends to three others, and against a
// change of one line that costs as much as the table.
TEST(ConfigRunner, EachNodeReceivesALargeValueOnce) {
  const Peers Nodes = makePeers(4);
  Nodes[0]->apply(5, 12);
  ASSERT_TRUE(runUntil(Nodes, [&] { return allHold(Nodes, 5); }));
  const std::uint64_t ValueBytes = version(5).Value.size();
  std::vector<std::uint64_t> Received;
  for (const auto &Node : Nodes) {
    EXPECT_LE(Node->Config->traffic().BytesReceived, ValueBytes + SmallBytes);
    EXPECT_EQ(Node->Changes, 1);
    EXPECT_FALSE(Node->Config->isOutdated(Key));
    Received.push_back(Node->Config->traffic().BytesReceived);
  }
  Nodes[0]->apply(9, 12);
  ASSERT_TRUE(runUntil(Nodes, [&] { return allHold(Nodes, 9); }));
  for (std::size_t I = 0; I < Nodes.size(); ++I) {
    const ConfigTraffic &Traffic = Nodes[I]->Config->traffic();
    EXPECT_LE(Traffic.BytesReceived - Received[I], SmallBytes);
    EXPECT_EQ(Traffic.PatchesApplied, I == 0 ? 0U : 1U);
    EXPECT_EQ(policy::find(Nodes[I]->Config->table(), Key)->Value,
              version(9).Value);
  }
}

// Guards against a late node that learns only after several calls that it is
// behind, and against one that receives the whole table for a few changes.
TEST(ConfigRunner, TheFirstAnswerOfAnExchangeTellsALateNode) {
  const Peers Nodes = makePeers(2);
  Nodes[0]->apply(5, 0);
  Nodes[1]->apply(5, 0);
  Nodes[0]->apply(7, 0);
  Nodes[0]->apply(9, 0);
  Nodes[1]->Config->onDifference(Nodes[0]->Self, steadyNow());
  EXPECT_FALSE(Nodes[1]->Config->isOutdated(Key));
  ASSERT_TRUE(runUntil(Nodes, [&] {
    return Nodes[1]->held() == 9 || Nodes[1]->Config->isOutdated(Key);
  }));
  ASSERT_TRUE(runUntil(Nodes, [&] { return allHold(Nodes, 9); }));
  EXPECT_FALSE(Nodes[1]->Config->isOutdated(Key));
  EXPECT_EQ(Nodes[1]->Config->traffic().PatchesApplied, 2U);
  EXPECT_EQ(Nodes[1]->Changes, 2);
  EXPECT_LE(Nodes[1]->Config->traffic().BytesReceived, SmallBytes);
}

// Guards against a node ahead of the one that it compares with and that tells
// it nothing: the first call announces its values too.
TEST(ConfigRunner, TheFirstCallOfAnExchangeTellsALateNode) {
  const Peers Nodes = makePeers(2);
  Nodes[0]->apply(9, 0);
  Nodes[0]->Config->onDifference(Nodes[1]->Self, steadyNow());
  ASSERT_TRUE(runUntil(Nodes, [&] { return allHold(Nodes, 9); }));
  EXPECT_LE(Nodes[1]->Config->traffic().BytesReceived,
            version(9).Value.size() + SmallBytes);
}

// Guards against a value with damaged lines that takes effect, and against a
// node that never gets the right one afterwards.
TEST(ConfigRunner, APatchThatDoesNotFitIsReplacedByTheValue) {
  const Peers Nodes = makePeers(2);
  policy::ConfigEntry Other = version(5);
  Other.Value.replace(Other.Value.find("route 40"), 8, "ROUTE 40");
  Nodes[1]->Config->apply(std::span(&Other, 1), ConfigRunner::Source::Store, 0);
  Nodes[0]->apply(5, 0);
  Nodes[0]->apply(9, 12);
  ASSERT_TRUE(runUntil(Nodes, [&] { return allHold(Nodes, 9); }));
  EXPECT_EQ(policy::find(Nodes[1]->Config->table(), Key)->Value,
            version(9).Value);
  EXPECT_GE(Nodes[1]->Config->traffic().PatchesMisfit, 1U);
}

// Guards against a node that answers 404 although an announcement told it of a
// newer table, here from a node that it cannot ask.
TEST(ConfigRunner, IsOutdatedAfterAnAnnouncement) {
  const Peers Nodes = makePeers(1);
  wire::PushConfigRequest Request;
  wire::KeyRevision &Held = *Request.add_notices();
  Held.set_key(Key);
  Held.set_revision(9);
  wire::ControlBody Response;
  Nodes[0]->Config->onPush(Request, 77, Response);
  EXPECT_TRUE(Nodes[0]->Config->isOutdated(Key));
  EXPECT_FALSE(Nodes[0]->Config->isOutdated("services/other"));
  EXPECT_EQ(Nodes[0]->Config->traffic().FetchesStarted, 0U);
  Nodes[0]->apply(9, 0);
  EXPECT_FALSE(Nodes[0]->Config->isOutdated(Key));
}

// Guards against a node of the previous version that asks in an exchange and
// never receives large values, because it cannot fetch.
TEST(ConfigRunner, AnExchangeSendsLargeValuesToThePreviousVersion) {
  const Peers Nodes = makePeers(1);
  Nodes[0]->apply(9, 0);
  wire::ExchangeDigestRequest Request;
  Request.set_buckets(~std::uint64_t{0});
  wire::ControlBody Response;
  Nodes[0]->Config->onExchange(Request, 77, Response);
  ASSERT_EQ(Response.exchange_digest_answer().newer_size(), 1);
  EXPECT_EQ(Response.exchange_digest_answer().newer(0).value(),
            version(9).Value);
  Request.set_fetches(true);
  wire::ControlBody Short;
  Nodes[0]->Config->onExchange(Request, 77, Short);
  EXPECT_EQ(Short.exchange_digest_answer().newer_size(), 0);
  EXPECT_EQ(Short.exchange_digest_answer().notices_size(), 1);
}

// Guards against a node of the previous version that answers in an exchange and
// is sent a notice, which it ignores.
TEST(ConfigRunner, ThePreviousVersionIsSentTheValuesThatItWants) {
  const Peers Nodes = makePeers(2);
  std::string Received;
  Nodes[1]->Handle = [&](const wire::ControlBody &Body,
                         wire::ControlBody &Response) {
    for (const wire::ConfigEntry &Entry : Body.push_config().entries()) {
      Received = Entry.value();
    }
    wire::ExchangeDigestAnswer &Result =
        *Response.mutable_exchange_digest_answer();
    if (Body.exchange_digest().buckets() == 0) {
      Result.set_differing(~std::uint64_t{0});
    } else {
      Result.add_wanted(Key);
    }
  };
  Nodes[0]->apply(9, 0);
  Nodes[0]->Config->onDifference(Nodes[1]->Self, steadyNow());
  ASSERT_TRUE(runUntil(Nodes, [&] { return !Received.empty(); }));
  EXPECT_EQ(Received, version(9).Value);
}

} // namespace
} // namespace magnolia::daemon
