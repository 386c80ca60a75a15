#ifndef LOOPBACK_NODE_METRICS_H
#define LOOPBACK_NODE_METRICS_H

#include "fleet.h"
#include "measure.h"

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace magnolia::bench {

// Samples of a node's metrics page by name, summed over their labels.
using NodeMetrics = std::map<std::string, double, std::less<>>;

[[nodiscard]] NodeMetrics parseMetrics(std::string_view Text);

// Probe budget of one entry node for all services, as in the published service
// files.
struct MeasuringBudget {
  double Ratio = 0.01;
  double FloorPerSecond = 5;
  // Unused probes that may accumulate per service.
  double Saved = 4;
  double Services = 3;
};

// Compares the probes of each node with its budget over its running time.
[[nodiscard]] std::vector<Measure>
judgeMeasuring(std::span<const NodeMetrics> Nodes,
               const MeasuringBudget &Budget, double Seconds);

// Fetches the metrics of the running nodes.
[[nodiscard]] std::vector<NodeMetrics> fetchMetrics(const Fleet &Run);

} // namespace magnolia::bench

#endif
