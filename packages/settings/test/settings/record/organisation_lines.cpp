#include "settings/record/routing_change.h"
#include "settings/record/routing_lines.h"
#include "settings/record/routing_text.h"

#include <gtest/gtest.h>

#include <string>

namespace magnolia::settings {
namespace {

RoutingRecord sample() {
  return {.Version = 1,
          .Routes = {{.Name = "r",
                      .Host = "h",
                      .Prefix = "/",
                      .Targets = {{.Service = "s"}}}},
          .Services = {{.Service = "s"}},
          .Organisations = {
              {.Name = "org-a", .Keys = {"k1", "k\"2"}, .Priority = 0},
              {.Name = "org-b", .Keys = {"k3"}},
              {.Name = "org-c"}}};
}

// Guards against an organisation that is lost when a table is written or read.
TEST(OrganisationLines, RoundTrip) {
  policy::Error Error;
  const std::string Text = formatRouting(sample());
  EXPECT_EQ(parseRouting(Text, Error), sample()) << Error.Detail;
  EXPECT_NE(Text.find("\n{\"organisation\":\"org-b\",\"keys\":[\"k3\"]}\n"),
            std::string::npos)
      << Text;
}

// Guards against a changed key that costs more than its line, or that is
// counted as a service.
TEST(OrganisationLines, ChangedKeyIsOneLine) {
  policy::Error Error;
  RoutingLines Lines;
  const std::string Value = formatRouting(sample());
  remember(Lines, Value, *compareRouting(Lines, Value, Error));
  RoutingRecord Next = sample();
  Next.Version = 2;
  Next.Organisations[1].Keys = {"k4"};
  const auto Change = compareRouting(Lines, formatRouting(Next), Error);
  ASSERT_TRUE(Change) << Error.Detail;
  EXPECT_TRUE(Change->AddedRoutes.empty());
  EXPECT_TRUE(Change->AddedServices.empty());
  EXPECT_EQ(Change->Services, 1U);
  EXPECT_EQ(Change->Routes, 1U);
  ASSERT_EQ(Change->AddedOrganisations.size(), 1U);
  EXPECT_EQ(Change->AddedOrganisations[0].Keys.front(), "k4");
  ASSERT_EQ(Change->RemovedOrganisations.size(), 1U);
  EXPECT_EQ(Change->RemovedOrganisations[0].Keys.front(), "k3");
}

struct RejectedRow {
  const char *Failure;
  std::string Line;
};

// Guards against a table that is rejected because of one unusual text in it.
TEST(OrganisationLines, TextsHaveNoLimit) {
  RoutingRecord Table = sample();
  Table.Organisations[1].Keys = {"", std::string(20'000, 'k'), "\xc3\xa4 \n"};
  Table.Organisations[2].Name =
      "org-c" + std::string(5'000, 'n') + "/ \xc3\xa4";
  policy::Error Error;
  EXPECT_EQ(parseRouting(formatRouting(Table), Error), Table) << Error.Detail;
}

// Guards against an organisation that a node cannot check, and against a reason
// that contains a key.
TEST(OrganisationLines, RejectedTable) {
  const std::string Secret = "secret-key";
  const RejectedRow Rows[] = {
      {"no name", R"({"organisation":"","keys":["secret-key"]})"},
      {"a name that ends a header",
       R"({"organisation":"a\r\nX: y","keys":["secret-key"]})"},
      {"a number as a key", R"({"organisation":"a","keys":["secret-key",7]})"},
      {"a list as a key", R"({"organisation":"a","keys":[["secret-key"]]})"},
      {"keys that are no list", R"({"organisation":"a","keys":"secret-key"})"},
      {"a priority that is no number",
       R"({"organisation":"a","keys":["secret-key"],"priority":"secret-key"})"},
      {"a broken line", R"({"organisation":"a","keys":["secret-key"])"}};
  for (const RejectedRow &Row : Rows) {
    policy::Error Error;
    EXPECT_FALSE(parseRouting("{\"version\":1}\n" + Row.Line, Error))
        << Row.Failure;
    EXPECT_NE(Error.Detail.find("line 2"), std::string::npos) << Error.Detail;
    EXPECT_EQ(Error.Detail.find(Secret), std::string::npos) << Error.Detail;
  }
}

} // namespace
} // namespace magnolia::settings
