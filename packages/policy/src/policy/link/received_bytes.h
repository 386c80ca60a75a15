#ifndef POLICY_LINK_RECEIVED_BYTES_H
#define POLICY_LINK_RECEIVED_BYTES_H

#include "policy/core/types.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace magnolia::policy {

// Bytes of request bodies that a node received over its link, as a sliding
// count. It is not thread-safe; callers guard it with one mutex.
struct ReceivedBytes {
  // Length of the window, and of the slots in which it slides. The count leaves
  // out at most one slot of the window.
  static constexpr Duration Window = std::chrono::seconds(1);
  static constexpr Duration SlotLength = std::chrono::milliseconds(20);
  static constexpr std::size_t SlotCount = Window / SlotLength;

  std::array<std::uint64_t, SlotCount> Slots{};
  // Number of the newest slot since the zero time point.
  std::int64_t Newest = 0;
};

// Counts bytes that arrived now. A time before the newest slot counts in that
// slot.
void recordReceived(ReceivedBytes &State, std::size_t Bytes, TimePoint Now);

// Returns the bytes that arrived in the window before this time.
[[nodiscard]] std::uint64_t receivedInWindow(const ReceivedBytes &State,
                                             TimePoint Now);

// Returns the received bytes of the window in percent of what a link of this
// capacity carries in it, rounded; 0 if the capacity is unknown (0). It is
// limited to MaxLinkUsePercent, since a stated capacity may be too low.
inline constexpr std::uint32_t MaxLinkUsePercent = 1'000;
[[nodiscard]] std::uint32_t linkUsePercent(const ReceivedBytes &State,
                                           double BytesPerSecond,
                                           TimePoint Now);

} // namespace magnolia::policy

#endif
