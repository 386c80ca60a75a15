#ifndef POLICY_ANNOUNCE_ANNOUNCE_STATE_H
#define POLICY_ANNOUNCE_ANNOUNCE_STATE_H

#include "policy/announce/backend_report.h"

#include <optional>
#include <string>

namespace magnolia::policy {

// State of the local backend server as known from its reports.
struct AnnounceState {
  // Address that reports must name; any address is allowed if Port is 0.
  std::string Address;
  std::uint16_t Port = 0;
  // Last accepted report. Its stage never goes back within one incarnation.
  std::optional<BackendReport> Known;
  // True if Known is from before a restart of this node and the backend server
  // has not sent a report or health response since.
  bool Restored = false;
  TimePoint HeardAt{};
};

} // namespace magnolia::policy

#endif
