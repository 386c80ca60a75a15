#include "policy/rollout/route_rows.h"

#include <gtest/gtest.h>

#include <set>
#include <string>

namespace magnolia::policy {
namespace {

std::string routeName(std::size_t Number) {
  return "/" + std::to_string(Number) + "/";
}

// Guards against routes that are counted nowhere, and against a table without
// bound.
TEST(RouteRows, EveryRouteHasARow) {
  RouteRows Rows;
  std::set<std::size_t> Seen;
  for (std::size_t I = 0; I < 10'000; ++I) {
    const RouteRow Row = rowOf(Rows, routeName(I));
    EXPECT_LE(Row.Number, Seen.size());
    Seen.insert(Row.Number);
  }
  EXPECT_EQ(Seen.size(), RouteRows::MaxRows);
  EXPECT_EQ(Rows.Numbers.size(), RouteRows::MaxRows);
}

// Guards against the responses on a route that are spread over several rows.
TEST(RouteRows, ARouteKeepsItsRow) {
  RouteRows Rows;
  for (std::size_t I = 0; I < 2 * RouteRows::MaxOwn; ++I) {
    const RouteRow First = rowOf(Rows, routeName(I));
    const RouteRow Second = rowOf(Rows, routeName(I));
    EXPECT_EQ(First.Number, Second.Number);
    EXPECT_EQ(First.Name, Second.Name);
  }
}

// Guards against a route that two nodes count under different shared names, and
// against the name of a shared row that is counted as one more route.
TEST(RouteRows, NodesAgreeOnSharedRows) {
  RouteRows Entry;
  RouteRows Driver;
  for (std::size_t I = 0; I < RouteRows::MaxOwn; ++I) {
    (void)rowOf(Entry, routeName(I));
    (void)rowOf(Driver, routeName(1'000'000 + I));
  }
  const RouteRow Shared = rowOf(Entry, "/late/");
  EXPECT_NE(Shared.Name, "/late/");
  EXPECT_EQ(rowOf(Driver, Shared.Name).Name, Shared.Name);
  EXPECT_EQ(rowOf(Driver, "/late/").Name, Shared.Name);
  EXPECT_EQ(Driver.Own, RouteRows::MaxOwn);
}

// Guards against names from another node that add rows without bound.
TEST(RouteRows, OnlySharedRowsHaveTheirNames) {
  const char *const Others[] = {"(routes )",  "(routes 01)", "(routes 128)",
                                "(routes 1",  "(routes 1))", "(routes -1)",
                                "(routes 1 )"};
  RouteRows Rows;
  for (const char *Name : Others) {
    const std::size_t Before = Rows.Own;
    (void)rowOf(Rows, Name);
    EXPECT_EQ(Rows.Own, Before + 1) << Name;
  }
  (void)rowOf(Rows, "(routes 127)");
  EXPECT_EQ(Rows.Own, std::size(Others));
}

} // namespace
} // namespace magnolia::policy
