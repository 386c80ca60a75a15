#ifndef BACKEND_SLOT_STATE_H
#define BACKEND_SLOT_STATE_H

#include <chrono>
#include <cstdint>

namespace magnolia::standin {

using TimePoint = std::chrono::nanoseconds;

// Slots of a stand-in with its cold start: capacity grows from one slot to all
// of them over a length of time in which the server worked, so a server
// without work stays cold.
struct SlotState {
  std::uint32_t Slots = 12;
  std::chrono::nanoseconds ColdStart{0};

  std::uint32_t InFlight = 0;
  std::uint32_t MostInFlight = 0;
  std::uint64_t Overloads = 0;
  std::chrono::nanoseconds Worked{0};
  TimePoint BusySince{0};
};

// Requests that may run now.
[[nodiscard]] std::uint32_t capacity(const SlotState &State, TimePoint Now);

// Takes a slot. Without a free one it counts an overload and returns false.
bool enter(SlotState &State, TimePoint Now);

void leave(SlotState &State, TimePoint Now);

// Starts the cold start again; requests in flight keep their slots.
void restart(SlotState &State, TimePoint Now);

} // namespace magnolia::standin

#endif
