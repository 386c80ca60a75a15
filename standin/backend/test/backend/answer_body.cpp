#include "backend/answer_body.h"

#include <gtest/gtest.h>

namespace magnolia::standin {
namespace {

const ResponseFacts Facts{
    .Service = "orders", .Version = "2", .Path = "/hold", .Token = "t-1"};

struct Row {
  const char *Guards;
  std::string Body;
  bool Matches;
};

TEST(ResponseBody, MatchesOnlyItsOwnWholeResponse) {
  const std::string Whole = composeBody(Facts, 300);
  auto Other = Facts;
  Other.Token = "t-2";
  const Row Rows[] = {
      {"a valid response that is rejected", Whole, true},
      {"a truncated response", Whole.substr(0, 299), false},
      {"two concatenated responses", Whole + Whole, false},
      {"a response to another request", composeBody(Other, 300), false},
      {"an empty response", "", false},
  };
  for (const auto &[Guards, Body, Matches] : Rows) {
    std::string Version;
    EXPECT_EQ(matchBody(Body, "/hold", "t-1", 300, Version), Matches)
        << "guards against " << Guards;
    EXPECT_EQ(Version, Matches ? "2" : Version);
  }
}

} // namespace
} // namespace magnolia::standin
