#ifndef POLICY_MOVE_INTERNAL_JUDGE_ROUTES_H
#define POLICY_MOVE_INTERNAL_JUDGE_ROUTES_H

#include "policy/core/types.h"
#include "policy/move/answer_ring.h"
#include "policy/move/verdict.h"

#include <span>
#include <string_view>

namespace magnolia::policy::internal {

// Verdict on one route by its last seconds. Slow answers count once they are
// spread over a while.
[[nodiscard]] Verdict judgeRoute(const AnswerRing &Ring, std::string_view Route,
                                 TimePoint Now);

// True where the route has too few answers for a verdict of its own.
[[nodiscard]] bool hasFewAnswers(const AnswerRing &Ring, TimePoint Now);

// Verdict on all routes together, for versions that get too few requests on
// each single route.
[[nodiscard]] Verdict judgeTogether(std::span<const AnswerRing *const> Rings,
                                    TimePoint Now);

} // namespace magnolia::policy::internal

#endif
