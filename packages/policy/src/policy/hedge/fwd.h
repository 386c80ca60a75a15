#ifndef POLICY_HEDGE_FWD_H
#define POLICY_HEDGE_FWD_H

#include <cstdint>

namespace magnolia::policy {

enum class CopyAction : std::uint8_t;
enum class HedgeRefusal : std::uint8_t;
struct HedgeDecision;
struct HedgeLimit;
struct HedgeOptions;
struct HedgeQuery;
struct HedgeState;
struct ResponseTimes;
struct SlowShare;

} // namespace magnolia::policy

#endif
