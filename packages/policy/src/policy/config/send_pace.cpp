#include "policy/config/send_pace.h"

#include <chrono>

namespace magnolia::policy {

Duration takeSend(SendPace &Pace, std::size_t Bytes, TimePoint Now) {
  if (Now < Pace.Next) {
    return Pace.Next - Now;
  }
  Pace.Next =
      Now + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
                static_cast<double>(Bytes) /
                static_cast<double>(Pace.BytesPerSecond)));
  return Duration::zero();
}

} // namespace magnolia::policy
