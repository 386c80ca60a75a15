#ifndef POLICY_ROLLOUT_FWD_H
#define POLICY_ROLLOUT_FWD_H

#include <cstdint>

namespace magnolia::policy {

enum class RolloutPhase : std::uint8_t;
enum class VersionRole : std::uint8_t;
enum class VerdictKind : std::uint8_t;
struct ResponsePair;
struct ResponseRing;
struct CombinedRing;
struct DriveState;
struct StatsReport;
struct RolloutBreaker;
struct RolloutStats;
struct RolloutOptions;
struct RolloutRequest;
struct RolloutStep;
struct RolloutRecord;
struct RouteRow;
struct RouteRows;
struct RouteStats;
struct Verdict;
struct VersionCounts;

} // namespace magnolia::policy

#endif
