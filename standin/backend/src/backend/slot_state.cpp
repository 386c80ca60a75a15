#include "backend/slot_state.h"

#include <algorithm>

namespace magnolia::standin {

std::uint32_t capacity(const SlotState &State, TimePoint Now) {
  auto Worked = State.Worked;
  if (State.InFlight > 0) {
    Worked += Now - State.BusySince;
  }
  if (Worked >= State.ColdStart) {
    return State.Slots;
  }
  const auto Share = static_cast<double>(Worked.count()) /
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
    State.Worked += Now - State.BusySince;
  }
}

void restart(SlotState &State, TimePoint Now) {
  State.Worked = std::chrono::nanoseconds{0};
  State.BusySince = Now;
}

} // namespace magnolia::standin
