#ifndef POLICY_MOVE_BRAKE_H
#define POLICY_MOVE_BRAKE_H

#include "policy/core/types.h"
#include "policy/move/evidence_report.h"
#include "policy/move/local_brake.h"
#include "policy/move/move_record.h"

#include <chrono>
#include <string_view>

namespace magnolia::policy {

// Length of the pause after a first failure. The trial that follows ends within
// the two seconds in which a bad version has to be cut off.
inline constexpr Duration BrakePause = std::chrono::milliseconds{500};
inline constexpr Duration BrakeTrial = std::chrono::milliseconds{900};

// Answers of the new version without a failure, on the route that failed, that
// end the trial.
inline constexpr std::uint32_t BrakeTrialAnswers = 3;

// Requests to the new version a second that a trial aims at on that route, and
// the highest share that a node with little traffic takes for it.
inline constexpr double BrakeTrialRate = 5.0;
inline constexpr double BrakeTrialShare = 0.25;

// Takes a record of the move over: a new move starts a new brake, a new step
// new totals. What the brake holds of the same move stays.
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
