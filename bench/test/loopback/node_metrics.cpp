#include "node_metrics.h"

#include <gtest/gtest.h>

namespace magnolia::bench {
namespace {

bool held(const NodeMetrics &Node, double Seconds) {
  return judgeMeasuring(std::vector{Node}, {}, Seconds).back().Held;
}

TEST(NodeMetrics, SumsOverLabels) {
  // Guards against a counter of which only the last label is counted.
  const auto Metrics = parseMetrics("# HELP a text\n"
                                    "a{kind=\"x y\"} 2\na{kind=\"z\"} 3\nb 4");
  EXPECT_EQ(Metrics.at("a"), 5);
  EXPECT_EQ(Metrics.at("b"), 4);
}

TEST(NodeMetrics, ProbesStayInTheirBudget) {
  NodeMetrics Node{{"magnolia_requests_total", 1000},
                   {"magnolia_load_polls_total", 7}};
  // Guards against a run that passes because the counter is missing.
  EXPECT_FALSE(held(Node, 10));
  // Guards against a budget other than the published one: for each of three
  // services 5 probes a second and 4 accumulated ones, and one probe per
  // hundred requests.
  Node["magnolia_probes_total"] = 3 * (5 * 10 + 4) + 10;
  EXPECT_TRUE(held(Node, 10));
  Node["magnolia_probes_total"] += 1;
  EXPECT_FALSE(held(Node, 10));
}

} // namespace
} // namespace magnolia::bench
