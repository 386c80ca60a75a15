#include "settings/record/routing_change.h"

#include "settings/record/limits.h"
#include "settings/record/routing_lines.h"
#include "settings/record/routing_text.h"

#include <gtest/gtest.h>

#include <string>

namespace magnolia::settings {
namespace {

RoutingRecord table(std::size_t Routes) {
  RoutingRecord Table{.Version = 1, .Services = {{.Service = "s"}}};
  for (std::size_t Route = 0; Route < Routes; ++Route) {
    Table.Routes.push_back(
        {.Name = std::string("r").append(std::to_string(Route)),
         .Host = "h",
         .Prefix = std::string("/").append(std::to_string(Route)) + "/",
         .Targets = {{.Service = "s"}}});
  }
  return Table;
}

RoutingLines linesInEffect(const RoutingRecord &Table) {
  const std::string Value = formatRouting(Table);
  policy::Error Error;
  RoutingLines Lines;
  const auto Change = compareRouting(Lines, Value, Error);
  EXPECT_TRUE(Change) << Error.Detail;
  remember(Lines, Value, *Change);
  return Lines;
}

// Guards against a version whose cost grows with the routes that it leaves as
// they are.
TEST(RoutingChange, OnlyDifferingLinesAreParsed) {
  RoutingRecord Table = table(1000);
  const RoutingLines Lines = linesInEffect(Table);
  Table.Version = 2;
  Table.Routes[500].Priority = 7;
  Table.Routes.push_back({.Name = "new",
                          .Host = "i",
                          .Prefix = "/",
                          .Targets = {{.Service = "s"}}});
  Table.Routes.erase(Table.Routes.begin());
  policy::Error Error;
  const auto Change = compareRouting(Lines, formatRouting(Table), Error);
  ASSERT_TRUE(Change) << Error.Detail;
  EXPECT_EQ(Change->Version, 2U);
  EXPECT_EQ(Change->Routes, 1000U);
  EXPECT_EQ(Change->Services, 1U);
  ASSERT_EQ(Change->AddedRoutes.size(), 2U);
  EXPECT_EQ(Change->AddedRoutes[0]->Priority, 7U);
  EXPECT_EQ(Change->AddedRoutes[1]->Name, "new");
  ASSERT_EQ(Change->RemovedRoutes.size(), 2U);
  EXPECT_TRUE(Change->AddedServices.empty());
  EXPECT_TRUE(Change->RemovedServices.empty());
}

// Guards against a node that parses the whole table again because a node of the
// previous build sent it as a document.
TEST(RoutingChange, DocumentIsComparedWithTheLines) {
  const RoutingLines Lines =
      linesInEffect({.Version = 1,
                     .Routes = {{.Name = "r",
                                 .Host = "h",
                                 .Prefix = "/",
                                 .Targets = {{.Service = "s"}}}}});
  policy::Error Error;
  const auto Change = compareRouting(
      Lines,
      R"({"version":2,"routes":[{"name":"r","host":"h","prefix":"/",)"
      R"("targets":[{"service":"s","weight":1.0}],"idempotent":false}]})",
      Error);
  ASSERT_TRUE(Change) << Error.Detail;
  EXPECT_EQ(Change->Version, 2U);
  EXPECT_TRUE(Change->AddedRoutes.empty());
  EXPECT_TRUE(Change->RemovedRoutes.empty());
  RoutingLines Next = Lines;
  remember(Next, "", *Change);
  EXPECT_EQ(Next.Text,
            "{\"version\":2,\"callers\":{}}\n[\"h\",\"/\",\"r\",\"s\"]");
}

// Guards against a limit that counts only what a version adds.
TEST(RoutingChange, LimitsCountTheWholeTable) {
  RoutingRecord Table = table(1);
  Table.Routes.front().Name = std::string(MaxRoutingSize - 200, 'n');
  const RoutingLines Lines = linesInEffect(Table);
  Table.Routes.push_back({.Name = std::string(200, 'n'),
                          .Host = "i",
                          .Prefix = "/",
                          .Targets = {{.Service = "s"}}});
  policy::Error Error;
  EXPECT_FALSE(compareRouting(Lines, formatRouting(Table), Error));
  EXPECT_NE(Error.Detail.find("4194304 bytes"), std::string::npos)
      << Error.Detail;
}

} // namespace
} // namespace magnolia::settings
