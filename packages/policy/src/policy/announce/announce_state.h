#ifndef POLICY_ANNOUNCE_ANNOUNCE_STATE_H
#define POLICY_ANNOUNCE_ANNOUNCE_STATE_H

#include "policy/announce/backend_report.h"

#include <optional>
#include <string>

namespace magnolia::policy {

// What a node knows about the backend server beside it from its reports.
struct AnnounceState {
  // Address that reports must name; empty and 0: any.
  std::string Address;
  std::uint16_t Port = 0;
  // Last report that was accepted. Its stage never goes back within a lifetime.
  std::optional<BackendReport> Known;
  // True where Known comes from before a restart of this node and the backend
  // server has not been heard since.
  bool Restored = false;
  TimePoint HeardAt{};
};

} // namespace magnolia::policy

#endif
