#ifndef POLICY_HEDGE_HEDGE_OPTIONS_H
#define POLICY_HEDGE_HEDGE_OPTIONS_H

#include <cstdint>

namespace magnolia::policy {

// Settings of the operators for hedged requests.
struct HedgeOptions {
  // Extra requests as a percentage of the requests of a service, from 0 to 20;
  // 0 switches hedged requests off.
  std::uint16_t Percent = 0;
  // Quantile, in percent, of the response times of a route after which a hedge
  // may be sent.
  std::uint16_t Quantile = 95;
  // Smallest delay of a hedge in milliseconds.
  std::uint32_t MinDelayMs = 20;

  bool operator==(const HedgeOptions &) const = default;
};

} // namespace magnolia::policy

#endif
