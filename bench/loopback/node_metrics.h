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

// Budget of probes of one entry node for all services, as published.
struct MeasuringBudget {
  double Ratio = 0.01;
  double FloorPerSecond = 5;
  // Probes that may be saved up, per service.
  double Saved = 4;
  double Services = 3;
};

// Probes of each node against its budget over the time that it has run.
[[nodiscard]] std::vector<Measure>
judgeMeasuring(std::span<const NodeMetrics> Nodes,
               const MeasuringBudget &Budget, double Seconds);

// Metrics of the nodes that run.
[[nodiscard]] std::vector<NodeMetrics> fetchMetrics(const Fleet &Run);

} // namespace magnolia::bench

#endif
