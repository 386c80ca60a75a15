#include "ctl/change/diff.h"

#include <gtest/gtest.h>

namespace magnolia::ctl {
namespace {

using Lines = std::vector<std::string>;

// Guards against a report of a change that does not name the fields.
TEST(Diff, NamesFieldsWithBothValues) {
  EXPECT_EQ(
      diffFields(R"({"a":1,"b":[{"c":true}],"operation_id":"x"})",
                 R"({"a":2,"b":[{"c":true},{"c":false}],"d":"e",)"
                 R"("operation_id":"y"})"),
      (Lines{"a: 1 -> 2", "b/1/c: absent -> false", "d: absent -> \"e\""}));
  EXPECT_EQ(diffFields("", R"({"a":1})"), Lines{"a: absent -> 1"});
  EXPECT_EQ(diffFields(R"({"a":1})", ""), Lines{"a: 1 -> absent"});
}

// Guards against unbounded output for a large value, and against values that
// are not JSON.
TEST(Diff, IsBounded) {
  std::string Large = "{";
  for (int I = 0; I < 100; ++I) {
    Large += (I == 0 ? "\"k" : ",\"k") + std::to_string(I) + "\":\"" +
             std::string(1000, 'x') + "\"";
  }
  const Lines Result = diffFields("", Large + "}");
  EXPECT_EQ(Result.size(), 21U);
  EXPECT_LT(Result[0].size(), 200U);
  EXPECT_TRUE(diffFields("not json", "[").empty());
}

} // namespace
} // namespace magnolia::ctl
