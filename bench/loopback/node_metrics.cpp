#include "node_metrics.h"

#include <algorithm>
#include <cstdlib>
#include <httplib.h>
#include <limits>
#include <stdexcept>

namespace magnolia::bench {

NodeMetrics parseMetrics(std::string_view Text) {
  NodeMetrics Sums;
  while (!Text.empty()) {
    const auto End = std::min(Text.find('\n'), Text.size());
    const auto Line = Text.substr(0, End);
    Text.remove_prefix(std::min(End + 1, Text.size()));
    const auto Space = Line.rfind(' ');
    if (Line.empty() || Line.front() == '#' ||
        Space == std::string_view::npos) {
      continue;
    }
    const auto Name = Line.substr(0, std::min(Line.find('{'), Space));
    Sums[std::string(Name)] +=
        std::strtod(std::string(Line.substr(Space + 1)).c_str(), nullptr);
  }
  return Sums;
}

std::vector<Measure> judgeMeasuring(std::span<const NodeMetrics> Nodes,
                                    const MeasuringBudget &Budget,
                                    double Seconds) {
  constexpr auto Missing = std::numeric_limits<double>::quiet_NaN();
  const auto ValueOf = [](const NodeMetrics &Node, std::string_view Name) {
    const auto Found = Node.find(Name);
    return Found == Node.end() ? Missing : Found->second;
  };
  double Probes = 0;
  double Polls = 0;
  double Over = Nodes.empty() ? Missing : 0;
  for (const auto &Node : Nodes) {
    const double Sent = ValueOf(Node, "magnolia_probes_total");
    const double Allowed =
        Budget.Ratio * ValueOf(Node, "magnolia_requests_total") +
        Budget.Services * (Budget.FloorPerSecond * Seconds + Budget.Saved);
    Probes += Sent;
    Polls += ValueOf(Node, "magnolia_load_polls_total");
    // The form of the comparison fails a missing counter (NaN) instead of
    // treating it as no probes.
    Over = Sent <= Allowed ? Over : Over + (Sent - Allowed);
  }
  return {figure("probes", Probes), figure("load_polls", Polls),
          atMost("probes_over_budget", Over, 0)};
}

std::vector<NodeMetrics> fetchMetrics(const Fleet &Run) {
  std::vector<NodeMetrics> All;
  for (const auto &Each : Run.Instances) {
    if (Each.Stopped) {
      continue;
    }
    httplib::Client Client(Each.Plan.Address, HttpPort);
    Client.set_connection_timeout(1);
    Client.set_read_timeout(5);
    const auto Answer = Client.Get("/-/metrics");
    if (!Answer || Answer->status != 200) {
      throw std::runtime_error("no metrics from the node at " +
                               Each.Plan.Address);
    }
    All.push_back(parseMetrics(Answer->body));
  }
  return All;
}

} // namespace magnolia::bench
