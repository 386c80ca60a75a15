#ifndef POLICY_OUTLIER_FWD_H
#define POLICY_OUTLIER_FWD_H

#include <cstdint>

namespace magnolia::policy {

enum class HealthPhase : std::uint8_t;
struct HealthState;
struct OutlierOptions;

} // namespace magnolia::policy

#endif
