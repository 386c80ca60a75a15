#ifndef BACKEND_SLOT_STATE_H
#define BACKEND_SLOT_STATE_H

#include <chrono>
#include <cstdint>

namespace magnolia::standin {

using TimePoint = std::chrono::nanoseconds;

// Slots of a stand-in server and its cold start. Capacity grows from one slot
// to all slots over ColdStart of busy time, so an idle server stays cold.
struct SlotState {
  std::uint32_t Slots = 12;
  std::chrono::nanoseconds ColdStart{0};

  std::uint32_t InFlight = 0;
  std::uint32_t MostInFlight = 0;
  std::uint64_t Overloads = 0;
  std::chrono::nanoseconds BusyTime{0};
  TimePoint BusySince{0};
};

// Number of requests that may run concurrently now.
[[nodiscard]] std::uint32_t capacity(const SlotState &State, TimePoint Now);

// Takes a slot. If none is free, counts an overload and returns false.
bool enter(SlotState &State, TimePoint Now);

void leave(SlotState &State, TimePoint Now);

// Begins a new cold start. Requests in flight keep their slots.
void restart(SlotState &State, TimePoint Now);

} // namespace magnolia::standin

#endif
