#include "policy/route/estimate.h"

#include "policy/route/internal/score.h"

namespace magnolia::policy {

CandidateEstimate estimate(const RouteState &State, const Candidate &Server,
                           TimePoint Now) {
  const internal::Score Score = internal::score(State, Server, Now);
  return {.Finish = Duration(static_cast<Duration::rep>(Score.Cost)),
          .InFlight = internal::expectedInFlight(State, Server, Now),
          .Limit = internal::expectedLimit(State, Server, Now),
          .Full = Score.Full};
}

} // namespace magnolia::policy
