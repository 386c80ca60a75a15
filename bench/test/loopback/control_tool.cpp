#include "control_tool.h"

#include <gtest/gtest.h>

namespace magnolia::bench {
namespace {

TEST(ControlTool, ReadsRevisionsOfEachNode) {
  // Guards against a status output that is parsed as no configuration.
  const auto Revisions = parseRevisions(
      R"({"nodes":{"a:1":{"keys":{"services/x":7}},"b:1":{"keys":{}}}})");
  ASSERT_EQ(Revisions.size(), 2U);
  EXPECT_EQ(Revisions.at("a:1").at("services/x"), 7U);
  EXPECT_TRUE(parseRevisions("error").empty());
}

TEST(ControlTool, ConfigurationIsInEffectOnEveryNode) {
  const NodeRevisions Before{{"a", {{"services/x", 7}}},
                             {"b", {{"services/x", 7}}}};
  auto Now = Before;
  Now["a"]["services/x"] = 9;
  // Guards against a wait that ends while a node serves the old revision.
  EXPECT_FALSE(inEffect(Before, Now, {"x"}));
  Now["b"]["services/x"] = 9;
  EXPECT_TRUE(inEffect(Before, Now, {"x"}));
  // Guards against a missing response that counts as all nodes.
  EXPECT_FALSE(inEffect(Before, {}, {"x"}));
}

} // namespace
} // namespace magnolia::bench
