#ifndef LOOPBACK_MEASURE_H
#define LOOPBACK_MEASURE_H

#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace magnolia::bench {

// One measured value of a run. Without a bound it is informational.
struct Measure {
  std::string Name;
  double Value = 0;
  std::optional<double> Bound;
  bool Held = true;
};

// Returns the percentile of the samples by the nearest-rank method; 0 without
// samples.
[[nodiscard]] double percentile(std::vector<double> Samples, double Share);

// Returns a measure that holds if the value is at most the bound.
[[nodiscard]] Measure atMost(std::string Name, double Value, double Bound);

// Returns a measure without a bound.
[[nodiscard]] Measure figure(std::string Name, double Value);

// Returns a measure without a bound that fails the run unless the tested
// condition was reached.
[[nodiscard]] Measure required(std::string Name, double Value, bool Reached);

// Prints the measure as one JSON line.
void print(std::ostream &Out, const Measure &Measured);

} // namespace magnolia::bench

#endif
