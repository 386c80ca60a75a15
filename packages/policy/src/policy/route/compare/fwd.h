#ifndef POLICY_ROUTE_COMPARE_FWD_H
#define POLICY_ROUTE_COMPARE_FWD_H

#include <cstdint>

namespace magnolia::policy {

enum class Baseline : std::uint8_t;
struct BaselineState;
struct PooledProbe;
struct ProbePool;

} // namespace magnolia::policy

#endif
