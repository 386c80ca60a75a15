#include "policy/linger/plan_linger.h"

#include <algorithm>
#include <chrono>

namespace magnolia::policy {

namespace {

// Nothing tells when the remote side acknowledges the output.
constexpr Duration DeliveryCheck = std::chrono::milliseconds(100);

} // namespace

bool mayClose(const LingerState &State, const LingerLimits &Limits,
              TimePoint Now) {
  const bool DroppedEnough =
      Limits.DropBytes > 0 && State.Dropped >= Limits.DropBytes;
  return State.Ended || DroppedEnough || Now >= State.Began + Limits.Longest ||
         (State.Delivered && Now >= State.LastOutput + Limits.Quiet);
}

TimePoint nextLingerCheck(const LingerState &State, const LingerLimits &Limits,
                          TimePoint Now) {
  const TimePoint Next =
      State.Delivered ? State.LastOutput + Limits.Quiet : Now + DeliveryCheck;
  return std::min(Next, State.Began + Limits.Longest);
}

} // namespace magnolia::policy
