#include "daemon/entry/entry_call.h"

#include "../support/routed_entry.h"
#include "../support/scripted_backend.h"

#include <gtest/gtest.h>

namespace magnolia::daemon {
namespace {

using policy::ErrorKind;
using policy::WorkloadSetting;

struct LossesAtEntry : test::RoutedEntry {
  using RoutedEntry::RoutedEntry;

  // Lets the node learn that all runs of the route lose a nested call.
  void reportLosses() {
    const policy::TimePoint Now = now();
    for (policy::TimePoint At = Now - std::chrono::seconds(2); At <= Now;
         At += std::chrono::milliseconds(100)) {
      Node.Gate.onCounts("r", 1, {.Runs = 50, .Losses = 50}, At);
      (void)Node.Gate.admit({.Route = "r", .Priority = 1}, At);
    }
  }

  [[nodiscard]] std::uint64_t shedSoFar() const {
    return Node.Gate.state().Routes.at({"r", 1}).Shed;
  }
};

// Guards against an entry node that ignores the losses which it is told of, and
// against a rejection without a time to return at.
TEST(EntryCallLosses, ParentsAreShedAndAskedToReturn) {
  for (const auto Setting : {WorkloadSetting::On, WorkloadSetting::Auto}) {
    LossesAtEntry Entry(Setting, true);
    Entry.reportLosses();
    for (int I = 0; I < 10; ++I) {
      EXPECT_TRUE(Entry.ask("a").RetryAfter);
    }
    EXPECT_GE(Entry.Counts.value(Counter::RequestsShed), 8U);
  }
}

// Guards against counts that the entry node does not take from responses.
TEST(EntryCallLosses, CountsOfAResponseReachTheRoute) {
  LossesAtEntry Entry(WorkloadSetting::On, false);
  Entry.Own.running().setCounting(true);
  test::ScriptedBackend Scripted([&Entry](const std::string &) {
    Entry.Own.running().markLostCall("a");
    return "HTTP/1.1 500 Internal\r\nContent-Length: 0\r\n\r\n";
  });
  Entry.attach(Scripted.port());
  EXPECT_EQ(Entry.ask("a").Kind, std::nullopt);
  const auto Routes = Entry.Node.Gate.state().Routes;
  ASSERT_EQ(Routes.size(), 1U);
  const auto &Reports = Routes.begin()->second.Reports;
  ASSERT_EQ(Reports.size(), 1U);
  EXPECT_EQ(Reports[0].Node, LossesAtEntry::OwnNode);
  EXPECT_EQ(Reports[0].Counts, (policy::RouteCounts{.Runs = 1, .Losses = 1}));
}

// Guards against a nested call that is shed, and against a lost one that the
// node does not count for its parent.
TEST(EntryCallLosses, LostNestedCallIsRecordedAtItsParent) {
  LossesAtEntry Entry(WorkloadSetting::On, false);
  Entry.reportLosses();
  (void)Entry.Own.running().begin("p", {.Route = "r"});
  for (int I = 0; I < 20; ++I) {
    const auto Result = Entry.ask("p.1");
    EXPECT_EQ(Result.Kind, ErrorKind::NoBackendServer);
    EXPECT_FALSE(Result.RetryAfter);
  }
  EXPECT_TRUE(Entry.Own.running().find("p")->LostCall);
  EXPECT_EQ(Entry.Counts.value(Counter::NestedCallsLost), 20U);
}

// Guards against a deployment that does not ask for the part and is served
// differently.
TEST(EntryCallLosses, SwitchedOffChangesNothing) {
  LossesAtEntry Off(WorkloadSetting::Off, true);
  LossesAtEntry WithoutBulk(WorkloadSetting::Auto, false);
  for (LossesAtEntry *const Entry : {&Off, &WithoutBulk}) {
    (void)Entry->Own.running().begin("p", {.Route = "r"});
    Entry->reportLosses();
    const std::uint64_t Shed = Entry->shedSoFar();
    for (int I = 0; I < 50; ++I) {
      const auto Result = Entry->ask(I % 2 == 0 ? "a" : "p.1");
      EXPECT_EQ(Result.Kind, ErrorKind::NoBackendServer);
      EXPECT_FALSE(Result.RetryAfter);
    }
    EXPECT_EQ(Entry->shedSoFar(), Shed);
    EXPECT_FALSE(Entry->Own.running().find("p")->LostCall);
  }
}

} // namespace
} // namespace magnolia::daemon
