#include "policy/link/received_bytes.h"

#include <algorithm>
#include <cmath>

namespace magnolia::policy {

namespace {

constexpr auto SlotTotal = static_cast<std::int64_t>(ReceivedBytes::SlotCount);

std::int64_t slotNumber(TimePoint Now) {
  return Now.time_since_epoch() / ReceivedBytes::SlotLength;
}

std::size_t indexOf(std::int64_t Number) {
  return static_cast<std::size_t>(Number % SlotTotal);
}

// Clears the slots that leave the window.
void advanceTo(ReceivedBytes &State, std::int64_t Number) {
  const std::int64_t First = std::max(State.Newest + 1, Number - SlotTotal + 1);
  for (std::int64_t Next = First; Next <= Number; ++Next) {
    State.Slots[indexOf(Next)] = 0;
  }
  State.Newest = std::max(State.Newest, Number);
}

} // namespace

void recordReceived(ReceivedBytes &State, std::size_t Bytes, TimePoint Now) {
  advanceTo(State, slotNumber(Now));
  State.Slots[indexOf(State.Newest)] += Bytes;
}

std::uint64_t receivedInWindow(const ReceivedBytes &State, TimePoint Now) {
  const std::int64_t Oldest =
      std::max(slotNumber(Now), State.Newest) - SlotTotal + 1;
  std::uint64_t Sum = 0;
  for (std::int64_t Next = std::max<std::int64_t>(Oldest, 0);
       Next <= State.Newest; ++Next) {
    Sum += State.Slots[indexOf(Next)];
  }
  return Sum;
}

std::uint32_t linkUsePercent(const ReceivedBytes &State, double BytesPerSecond,
                             TimePoint Now) {
  if (BytesPerSecond <= 0) {
    return 0;
  }
  constexpr double Percent = 100;
  const double Capacity =
      BytesPerSecond *
      std::chrono::duration<double>(ReceivedBytes::Window).count();
  const double Use =
      static_cast<double>(receivedInWindow(State, Now)) * Percent / Capacity;
  return static_cast<std::uint32_t>(
      std::min<double>(std::round(Use), MaxLinkUsePercent));
}

} // namespace magnolia::policy
