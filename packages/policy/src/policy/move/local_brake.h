#ifndef POLICY_MOVE_LOCAL_BRAKE_H
#define POLICY_MOVE_LOCAL_BRAKE_H

#include "policy/core/types.h"
#include "policy/move/answer_pair.h"
#include "policy/move/answer_ring.h"
#include "policy/move/verdict.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace magnolia::policy {

enum class MoveSide : std::uint8_t { Old, New };

// The brake of one entry node on one move: its own counts of the last seconds,
// per route and version, and what it concludes from them at once. Change it
// with the functions of brake.h only.
struct LocalBrake {
  static constexpr std::size_t MaxRoutes = 64;
  struct RouteAnswers {
    std::string Route;
    AnswerRing Ring;
    // Totals since the step began. With little traffic the failures of a bad
    // version are further apart than the ring reaches.
    AnswerPair Step;
    // Totals since the last report to the driver.
    AnswerPair Report;
  };

  std::string MoveId;
  std::uint32_t Step = 0;
  std::vector<RouteAnswers> Routes;
  Verdict Held;
  // The new version gets no work until then, while a first failure is checked.
  TimePoint PausedUntil;
  // End of the trial that follows the pause, the route that it is about, and
  // the answers of the new version there that end it earlier.
  TimePoint TrialUntil;
  std::size_t TrialRoute = 0;
  std::uint32_t TrialAnswers = 0;
  std::uint64_t NextReport = 1;
  std::uint64_t Pauses = 0;
  // Answers not counted because there are too many routes.
  std::uint64_t OverLimit = 0;
};

} // namespace magnolia::policy

#endif
