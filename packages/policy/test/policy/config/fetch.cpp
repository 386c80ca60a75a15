#include "policy/config/fetch.h"
#include "policy/config/apply.h"
#include "policy/config/exchange.h"
#include "policy/config/send_pace.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace magnolia::policy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char *Key = "routing/table";
constexpr std::size_t ValueBytes = 300'000;

ConfigEntry version(std::uint64_t Revision) {
  return {.Key = Key,
          .Revision = Revision,
          .Value = std::string(ValueBytes, 'x'),
          .Tombstone = false};
}

// Node that holds revision 5 and hears announcements.
struct Fixture {
  ConfigTable Table;
  FetchState State;
  RandomEngine Random{1};
  TimePoint Now{seconds(100)};
  NodeId Dead = 0;
};

Fixture holder() {
  Fixture Made;
  apply(Made.Table, version(5));
  return Made;
}

void hear(Fixture &Given, std::uint64_t Revision, NodeId From,
          std::uint32_t Rounds = 0) {
  learn(Given.State, Given.Table,
        {.Held = {.Key = Key, .Revision = Revision, .Bytes = ValueBytes},
         .From = From,
         .Rounds = Rounds},
        Given.Now);
}

std::vector<FetchCall> take(Fixture &Given) {
  return takeFetches(
      Given.State, Given.Table, [&](NodeId Node) { return Node != Given.Dead; },
      Given.Now, Given.Random);
}

void end(Fixture &Given, const FetchCall &Call, FetchOutcome Outcome,
         Duration RetryAfter = {}) {
  endFetch(Given.State, Given.Table, Call, Outcome, RetryAfter, Given.Now);
}

// Guards against several copies of a value on their way to the same node.
TEST(ConfigFetch, OneIsInFlightPerKey) {
  Fixture Given = holder();
  hear(Given, 9, 1);
  hear(Given, 9, 2);
  const std::vector<FetchCall> Calls = take(Given);
  ASSERT_EQ(Calls.size(), 1U);
  EXPECT_EQ(Calls[0].HeldRevision, 5U);
  hear(Given, 9, 3);
  hear(Given, 12, 4);
  EXPECT_TRUE(take(Given).empty());
}

// Guards against a node that answers 404 for a route of a revision that it
// could know of, and against one that stays outdated after it caught up.
TEST(ConfigFetch, IsOutdatedUntilTheRevisionIsHeld) {
  Fixture Given = holder();
  const auto Outdated = [&] {
    return isOutdated(Given.State, Given.Table, Key);
  };
  EXPECT_FALSE(Outdated());
  hear(Given, 5, 1);
  hear(Given, 4, 1);
  EXPECT_FALSE(Outdated());
  hear(Given, 9, 0);
  EXPECT_TRUE(Outdated());
  EXPECT_TRUE(take(Given).empty());
  apply(Given.Table, version(9));
  EXPECT_FALSE(Outdated());
  EXPECT_TRUE(take(Given).empty());
  EXPECT_TRUE(Given.State.Keys.empty());
}

// Guards against a node that waits for its next exchange although it knows of
// a newer revision when a fetch ends.
TEST(ConfigFetch, ANewerAnnouncementIsFetchedNext) {
  Fixture Given = holder();
  hear(Given, 9, 1);
  const FetchCall First = take(Given).at(0);
  hear(Given, 12, 2);
  apply(Given.Table, version(9));
  end(Given, First, FetchOutcome::Arrived);
  const FetchCall Second = take(Given).at(0);
  EXPECT_EQ(Second.From, 2U);
  EXPECT_EQ(Second.HeldRevision, 9U);
  apply(Given.Table, version(12));
  end(Given, Second, FetchOutcome::Arrived);
  EXPECT_TRUE(Given.State.Keys.empty());
  EXPECT_EQ(Given.State.InFlight, 0U);
}

// Guards against a node that asks the same silent node again and again, or
// gives up.
TEST(ConfigFetch, AFailureIsFollowedByAnotherNode) {
  Fixture Given = holder();
  hear(Given, 9, 1);
  hear(Given, 9, 2);
  const FetchCall First = take(Given).at(0);
  end(Given, First, FetchOutcome::Failed);
  const FetchCall Second = take(Given).at(0);
  EXPECT_NE(Second.From, First.From);
  EXPECT_GT(Second.Timeout, First.Timeout);
  end(Given, Second, FetchOutcome::Failed);
  EXPECT_TRUE(take(Given).empty());
  Given.Now += seconds(3);
  EXPECT_EQ(take(Given).size(), 1U);
  EXPECT_EQ(Given.State.Failed, 2U);
}

// Guards against a retry rate that grows with the number of nodes that
// announced the revision.
TEST(ConfigFetch, FailuresAreRetriedAtABoundedRate) {
  Fixture Given = holder();
  for (NodeId Node = 1; Node <= 8; ++Node) {
    hear(Given, 9, Node);
  }
  const TimePoint Start = Given.Now;
  while (Given.Now < Start + seconds(20)) {
    for (const FetchCall &Call : take(Given)) {
      end(Given, Call, FetchOutcome::Failed);
    }
    Given.Now += milliseconds(50);
  }
  EXPECT_LE(Given.State.Started, 16U);
  EXPECT_GE(Given.State.Started, 8U);
}

// Guards against a node that is asked although its failure is known.
TEST(ConfigFetch, DeadNodesAreNotAsked) {
  Fixture Given = holder();
  hear(Given, 9, 1);
  Given.Dead = 1;
  EXPECT_TRUE(take(Given).empty());
  hear(Given, 9, 2);
  EXPECT_EQ(take(Given).at(0).From, 2U);
}

// Guards against a node that waits for a busy node while another one has the
// value.
TEST(ConfigFetch, APostponedFetchGoesToAnotherNode) {
  Fixture Given = holder();
  hear(Given, 9, 1);
  end(Given, take(Given).at(0), FetchOutcome::Postponed, milliseconds(250));
  EXPECT_TRUE(take(Given).empty());
  hear(Given, 9, 2);
  const FetchCall Second = take(Given).at(0);
  EXPECT_EQ(Second.From, 2U);
  end(Given, Second, FetchOutcome::Postponed, milliseconds(500));
  Given.Now += milliseconds(250);
  EXPECT_EQ(take(Given).at(0).From, 1U);
  EXPECT_EQ(Given.State.Failed, 0U);
}

// Guards against a patch that never fits and is fetched for ever.
TEST(ConfigFetch, AfterAMisfitTheWholeValueIsAskedFor) {
  Fixture Given = holder();
  hear(Given, 9, 1);
  end(Given, take(Given).at(0), FetchOutcome::Misfit);
  EXPECT_EQ(take(Given).at(0).HeldRevision, 0U);
}

// Guards against a value that the table refuses and that is fetched again
// twice a second.
TEST(ConfigFetch, ARefusedValueIsNotFetchedAgainSoon) {
  Fixture Given = holder();
  hear(Given, 9, 1);
  end(Given, take(Given).at(0), FetchOutcome::Refused);
  hear(Given, 9, 2);
  Given.Now += seconds(10);
  EXPECT_TRUE(take(Given).empty());
}

// Guards against a new version that waits for the pause which an earlier one
// caused, longer than the time in which it has to be in effect.
TEST(ConfigFetch, ANewerVersionEndsThePause) {
  Fixture Given = holder();
  hear(Given, 9, 1);
  const std::vector<FetchCall> First = take(Given);
  ASSERT_EQ(First.size(), 1U);
  end(Given, First[0], FetchOutcome::Refused);
  hear(Given, 9, 2);
  EXPECT_TRUE(take(Given).empty());
  hear(Given, 10, 3);
  const std::vector<FetchCall> Next = take(Given);
  ASSERT_EQ(Next.size(), 1U);
  EXPECT_EQ(Next[0].From, 3U);
}

// Guards against a node that announces a revision that it does not have and is
// asked without pause.
TEST(ConfigFetch, ANodeWithLessThanItAnnouncedIsNotAskedAtOnce) {
  Fixture Given = holder();
  hear(Given, 9, 1);
  end(Given, take(Given).at(0), FetchOutcome::Nothing);
  EXPECT_TRUE(take(Given).empty());
  Given.Now += seconds(1);
  const FetchCall Call = take(Given).at(0);
  apply(Given.Table, version(7));
  end(Given, Call, FetchOutcome::Arrived);
  EXPECT_TRUE(take(Given).empty());
  EXPECT_TRUE(isOutdated(Given.State, Given.Table, Key));
}

// Guards against a fetch whose response was lost in a full task queue and that
// blocks the key for ever.
TEST(ConfigFetch, ALostResponseEndsTheFetch) {
  Fixture Given = holder();
  hear(Given, 9, 1);
  hear(Given, 9, 2);
  const FetchCall First = take(Given).at(0);
  Given.Now += First.Timeout + seconds(1);
  const std::vector<FetchCall> Next = take(Given);
  ASSERT_EQ(Next.size(), 1U);
  end(Given, First, FetchOutcome::Failed);
  EXPECT_EQ(Given.State.InFlight, 1U);
}

// Guards against a revision that no node has any more and that makes this node
// say for ever that it is outdated.
TEST(ConfigFetch, ARevisionThatNobodyAnnouncesIsForgotten) {
  Fixture Given = holder();
  hear(Given, 9, 1);
  Given.Dead = 1;
  Given.Now += seconds(29);
  EXPECT_TRUE(take(Given).empty());
  EXPECT_TRUE(isOutdated(Given.State, Given.Table, Key));
  Given.Now += seconds(2);
  EXPECT_TRUE(take(Given).empty());
  EXPECT_FALSE(isOutdated(Given.State, Given.Table, Key));
}

// Guards against memory and calls that grow with what other nodes announce.
TEST(ConfigFetch, IsBounded) {
  Fixture Given = holder();
  Given.State.Options.MaxKeys = 10;
  for (int I = 0; I < 20; ++I) {
    for (NodeId Node = 1; Node <= 20; ++Node) {
      learn(Given.State, Given.Table,
            {.Held = {.Key = "key" + std::to_string(I), .Revision = Node},
             .From = Node,
             .Rounds = 0},
            Given.Now);
    }
  }
  EXPECT_EQ(Given.State.Keys.size(), 10U);
  EXPECT_EQ(Given.State.Refused, 200U);
  for (const auto &[Name, Fetch] : Given.State.Keys) {
    EXPECT_LE(Fetch.Sources.size(), Given.State.Options.MaxSources);
    EXPECT_EQ(Fetch.Known, 20U);
  }
  EXPECT_EQ(take(Given).size(), Given.State.Options.MaxInFlight);
  EXPECT_TRUE(take(Given).empty());
  learn(Given.State, Given.Table,
        {.Held = {.Key = std::string(10'000, 'k'), .Revision = 9}, .From = 1},
        Given.Now);
  EXPECT_EQ(Given.State.Keys.size(), 10U);
}

// Guards against a value that is not passed on because an exchange announced it
// before a push did.
TEST(ConfigFetch, KeepsTheMostRounds) {
  Fixture Given = holder();
  hear(Given, 9, 1, 0);
  hear(Given, 9, 2, 7);
  hear(Given, 9, 3, 4);
  EXPECT_EQ(roundsOf(Given.State, Key), 7U);
  EXPECT_EQ(roundsOf(Given.State, "other"), 0U);
}

// Guards against copies sent at the same time, which all arrive late.
TEST(ConfigSendPace, OneValueAtATime) {
  SendPace Pace;
  const TimePoint Now{seconds(100)};
  EXPECT_EQ(takeSend(Pace, 1'250'000, Now), Duration::zero());
  EXPECT_EQ(takeSend(Pace, 1'250'000, Now + milliseconds(400)),
            milliseconds(600));
  EXPECT_EQ(takeSend(Pace, 1'250'000, Now + seconds(1)), Duration::zero());
}

// Guards against exchanges that send a large value unasked to a node that could
// fetch it, and against one that a node of an earlier version never receives.
TEST(ConfigExchange, AnnouncesLargeValuesToNodesThatFetch) {
  ConfigTable Table;
  apply(Table, version(5));
  apply(Table, {.Key = "zones/a", .Revision = 6, .Value = "small"});
  const ConfigDiff Whole = diff(Table, {});
  EXPECT_EQ(Whole.Newer.size(), 2U);
  EXPECT_TRUE(Whole.Notices.empty());
  const ConfigDiff Short = diff(Table, {}, ~std::uint64_t{0}, ExchangeMaxBytes,
                                LargeValues::Announced);
  ASSERT_EQ(Short.Newer.size(), 1U);
  EXPECT_EQ(Short.Newer[0].Key, "zones/a");
  ASSERT_EQ(Short.Notices.size(), 1U);
  EXPECT_EQ(Short.Notices[0].Revision, 5U);
  EXPECT_EQ(Short.Notices[0].Bytes, ValueBytes);
  const std::vector<std::string> Wanted = {Key, "zones/a", "unknown"};
  EXPECT_EQ(missingFrom(Table, Wanted).size(), 2U);
  EXPECT_EQ(missingFrom(Table, Wanted, ExchangeMaxBytes, LargeValues::Announced)
                .size(),
            1U);
  EXPECT_EQ(largeAmong(Table, Wanted).size(), 1U);
  EXPECT_EQ(largeRevisions(Table).size(), 1U);
  EXPECT_TRUE(
      largeRevisions(Table, ~(std::uint64_t{1} << bucketOf(Key))).empty());
}

} // namespace
} // namespace magnolia::policy
