#include "backend/slot_state.h"

#include <algorithm>

namespace magnolia::standin {

std::uint32_t capacity(const SlotState &State, TimePoint Now) {
  auto BusyTime = State.BusyTime;
  if (State.InFlight > 0) {
    BusyTime += Now - State.BusySince;
  }
  if (BusyTime >= State.ColdStart) {
    return State.Slots;
  }
  const auto Share = static_cast<double>(BusyTime.count()) /
                     static_cast<double>(State.ColdStart.count());
  return 1 + static_cast<std::uint32_t>((State.Slots - 1) * Share);
}

bool enter(SlotState &State, TimePoint Now) {
  if (State.InFlight >= capacity(State, Now)) {
    ++State.Overloads;
    return false;
  }
  if (State.InFlight == 0) {
    State.BusySince = Now;
  }
  ++State.InFlight;
  State.MostInFlight = std::max(State.MostInFlight, State.InFlight);
  return true;
}

void leave(SlotState &State, TimePoint Now) {
  --State.InFlight;
  if (State.InFlight == 0) {
    State.BusyTime += Now - State.BusySince;
  }
}

void restart(SlotState &State, TimePoint Now) {
  State.BusyTime = std::chrono::nanoseconds{0};
  State.BusySince = Now;
}

} // namespace magnolia::standin
