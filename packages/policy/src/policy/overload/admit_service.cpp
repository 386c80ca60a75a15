#include "policy/overload/admit_service.h"

#include <algorithm>

namespace magnolia::policy {

namespace {

std::uint64_t bucketNumber(const OverloadState &State, TimePoint Now) {
  return static_cast<std::uint64_t>(Now.time_since_epoch() /
                                    State.Options.Bucket);
}

OverloadState::Bucket &bucketOf(OverloadState &State, TimePoint Now) {
  const std::uint64_t Number = bucketNumber(State, Now);
  OverloadState::Bucket &Bucket = State.Window[Number % OverloadState::Buckets];
  if (Bucket.Number != Number) {
    Bucket = OverloadState::Bucket{.Number = Number};
  }
  return Bucket;
}

} // namespace

bool admitService(OverloadState &State, TimePoint Now, RandomEngine &Random) {
  const double Probability = shedProbability(State, Now);
  if (Probability > 0 &&
      std::uniform_real_distribution<>(0, 1)(Random) < Probability) {
    ++bucketOf(State, Now).Requests;
    ++State.Shed;
    return false;
  }
  ++State.Admitted;
  return true;
}

void record(OverloadState &State, bool Accepted, TimePoint Now) {
  OverloadState::Bucket &Bucket = bucketOf(State, Now);
  ++Bucket.Requests;
  Bucket.Accepts += Accepted ? 1 : 0;
}

bool isCapacityRejection(ErrorKind Kind) {
  return Kind == ErrorKind::Overloaded || Kind == ErrorKind::ColdStart ||
         Kind == ErrorKind::SlowInstance ||
         Kind == ErrorKind::DeadlineExceededNotRun;
}

double shedProbability(const OverloadState &State, TimePoint Now) {
  const std::uint64_t Last = bucketNumber(State, Now);
  double Requests = 0;
  double Accepts = 0;
  for (const OverloadState::Bucket &Bucket : State.Window) {
    if (Bucket.Number + OverloadState::Buckets > Last) {
      Requests += Bucket.Requests;
      Accepts += Bucket.Accepts;
    }
  }
  if (Requests < State.Options.MinRequests) {
    return 0;
  }
  const double Excess = Requests - State.Options.AcceptMultiplier * Accepts;
  return std::clamp(Excess / (Requests + 1), 0.0, State.Options.MaxShed);
}

} // namespace magnolia::policy
