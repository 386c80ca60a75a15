#ifndef LOOPBACK_MEASURE_H
#define LOOPBACK_MEASURE_H

#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace magnolia::bench {

// One figure of a run. Without a bound it only informs.
struct Measure {
  std::string Name;
  double Value = 0;
  std::optional<double> Bound;
  bool Held = true;
};

// Value below which the share of the samples lies (nearest rank); 0 without
// samples.
[[nodiscard]] double percentile(std::vector<double> Samples, double Share);

// Measure that holds where the value is at most the bound.
[[nodiscard]] Measure atMost(std::string Name, double Value, double Bound);

// Figure without a bound.
[[nodiscard]] Measure figure(std::string Name, double Value);

// Figure without a bound that shows that the run reached what it is meant to
// test; a run without it fails.
[[nodiscard]] Measure required(std::string Name, double Value, bool Reached);

// One JSON line.
void print(std::ostream &Out, const Measure &Measured);

} // namespace magnolia::bench

#endif
