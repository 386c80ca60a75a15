#ifndef POLICY_HEDGE_HEDGE_LIMIT_H
#define POLICY_HEDGE_HEDGE_LIMIT_H

#include <cstdint>

namespace magnolia::policy {

// Limit of the hedges of one service at one node. Each request earns Percent
// units, each hedge costs HedgeCost, and at most the cost of one hedge is kept.
// So in every interval, and thus in every window of 10 s, there is at most one
// hedge more than the percentage of the requests of the same interval. A count
// over the last 10 s would not hold this for a window that begins after a burst
// of requests and ends after the hedges that the burst paid for.
struct HedgeLimit {
  static constexpr std::uint32_t HedgeCost = 100;

  std::uint32_t Credit = HedgeCost;
};

} // namespace magnolia::policy

#endif
