#ifndef POLICY_MOVE_BRAKE_H
#define POLICY_MOVE_BRAKE_H

#include "policy/core/types.h"
#include "policy/move/evidence_report.h"
#include "policy/move/local_brake.h"
#include "policy/move/move_record.h"

#include <chrono>
#include <string_view>

namespace magnolia::policy {

// Length of one window of a LocalBrake.
inline constexpr Duration BrakeWindow = std::chrono::milliseconds{250};

// Windows that the new version is judged by.
inline constexpr std::size_t BrakeJudgedWindows = 8;

// A slow version is braked when it has been slow for this long, so that a
// burst of noise on one instance doesn't end a move.
inline constexpr Duration BrakeSlowTime = std::chrono::milliseconds{750};

// Length of the pause after a first failure. The trial that follows comes
// within the two seconds in which a bad version has to be cut off.
inline constexpr Duration BrakePause = std::chrono::seconds{1};

// Starts the brake of a move; the brake of an earlier move is forgotten, the
// one of the same move kept.
void beginMove(LocalBrake &Brake, const MoveRecord &Record);

// Counts one answer and judges the route at once. Returns whether the verdict
// became bad with it; the caller then sends the verdict to the other nodes.
bool countAnswer(LocalBrake &Brake, std::string_view Route, MoveSide Side,
                 bool Failed, Duration Latency, TimePoint Now);

// Joins a verdict from another node. Returns whether it became bad.
bool joinVerdict(LocalBrake &Brake, std::string_view MoveId,
                 const Verdict &Sent);

// Share from 0 to 1 of the service's traffic that this node gives to the new
// version now: the share of the record, or nothing where the brake holds or
// where the deadline has passed without Done. Now is wall-clock time as in the
// record and in the brake.
[[nodiscard]] double effectiveShare(const MoveRecord &Record,
                                    const LocalBrake &Brake, TimePoint Now);

// Answers since the previous report, for the driver. Clears them.
[[nodiscard]] EvidenceReport takeReport(LocalBrake &Brake,
                                        const MoveRecord &Record, NodeId Self,
                                        Incarnation Run);

} // namespace magnolia::policy

#endif
