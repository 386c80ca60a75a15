#ifndef POLICY_MOVE_FWD_H
#define POLICY_MOVE_FWD_H

#include <cstdint>

namespace magnolia::policy {

enum class MovePhase : std::uint8_t;
enum class MoveSide : std::uint8_t;
enum class VerdictKind : std::uint8_t;
struct ResponsePair;
struct ResponseRing;
struct DriveState;
struct EvidenceReport;
struct LocalBrake;
struct MoveEvidence;
struct MoveOptions;
struct MoveOrder;
struct RolloutStep;
struct MoveRecord;
struct RouteEvidence;
struct Verdict;
struct VersionCounts;

} // namespace magnolia::policy

#endif
