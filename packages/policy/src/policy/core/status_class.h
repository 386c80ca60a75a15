#ifndef POLICY_CORE_STATUS_CLASS_H
#define POLICY_CORE_STATUS_CLASS_H

#include <cstdint>

namespace magnolia::policy {

// What the status of an HTTP response says about the response.
enum class StatusClass : std::uint8_t {
  // Another response to the same request follows.
  Interim,
  Final,
  // No status of a response: outside of the range that HTTP defines, or a
  // switch to another protocol, which no request of the system asks for.
  Invalid,
};

// Returns the class of a status as it stands in the status line.
[[nodiscard]] constexpr StatusClass statusClassOf(unsigned Status) {
  constexpr unsigned FirstInterim = 100;
  constexpr unsigned SwitchingProtocols = 101;
  constexpr unsigned FirstFinal = 200;
  constexpr unsigned LastFinal = 599;
  if (Status < FirstInterim || Status > LastFinal ||
      Status == SwitchingProtocols) {
    return StatusClass::Invalid;
  }
  return Status < FirstFinal ? StatusClass::Interim : StatusClass::Final;
}

} // namespace magnolia::policy

#endif
