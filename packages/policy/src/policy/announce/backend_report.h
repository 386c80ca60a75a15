#ifndef POLICY_ANNOUNCE_BACKEND_REPORT_H
#define POLICY_ANNOUNCE_BACKEND_REPORT_H

#include "policy/core/types.h"

#include <cstdint>
#include <string>

namespace magnolia::policy {

enum class BackendStage : std::uint8_t { Ready, Draining, Left };

// Heartbeat of a backend server, or its leave report, which names only the
// instance.
struct BackendReport {
  std::string Instance;
  std::string Service;
  std::string Version;
  std::string Address;
  std::uint16_t Port = 0;
  std::uint32_t Slots = 1;
  BackendStage Stage = BackendStage::Ready;
  // Remaining time of a cold start.
  Duration ColdLeft{0};
  // Increases with each report of one incarnation.
  std::uint64_t Sequence = 0;
  // Incarnation of the backend server; a later start has a higher value. 0 if
  // not stated.
  Incarnation Born = 0;
  // Wall-clock time at which this node received the leave report.
  TimePoint LeftAt{};
};

} // namespace magnolia::policy

#endif
