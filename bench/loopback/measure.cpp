#include "measure.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <utility>

namespace magnolia::bench {

double percentile(std::vector<double> Samples, double Share) {
  if (Samples.empty()) {
    return 0;
  }
  const auto Rank = static_cast<std::size_t>(
      std::ceil(Share * static_cast<double>(Samples.size())));
  const auto Index = std::clamp<std::size_t>(Rank, 1, Samples.size()) - 1;
  const auto Position = Samples.begin() + static_cast<std::ptrdiff_t>(Index);
  std::nth_element(Samples.begin(), Position, Samples.end());
  return *Position;
}

Measure atMost(std::string Name, double Value, double Bound) {
  // NaN meets no bound.
  return {.Name = std::move(Name),
          .Value = Value,
          .Bound = Bound,
          .Held = Value <= Bound};
}

Measure figure(std::string Name, double Value) {
  return {.Name = std::move(Name), .Value = Value, .Bound = {}, .Held = true};
}

Measure required(std::string Name, double Value, bool Reached) {
  return {
      .Name = std::move(Name), .Value = Value, .Bound = {}, .Held = Reached};
}

void print(std::ostream &Out, const Measure &Measured) {
  nlohmann::ordered_json Json;
  Json["measure"] = Measured.Name;
  Json["value"] = Measured.Value;
  if (Measured.Bound) {
    Json["bound"] = *Measured.Bound;
    Json["held"] = Measured.Held;
  } else {
    Json["bound"] = nullptr;
    Json["held"] = Measured.Held ? nlohmann::ordered_json()
                                 : nlohmann::ordered_json(false);
  }
  Out << Json.dump() << std::endl;
}

} // namespace magnolia::bench
