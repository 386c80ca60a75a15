#ifndef POLICY_ANNOUNCE_ACCEPT_REPORT_H
#define POLICY_ANNOUNCE_ACCEPT_REPORT_H

#include "policy/announce/announce_state.h"
#include "policy/announce/backend_report.h"

#include <cstdint>
#include <string_view>

namespace magnolia::policy {

enum class ReportVerdict : std::uint8_t {
  // The report was stored in Known.
  Accepted,
  // The report belongs to an earlier incarnation, or a later report arrived
  // first.
  Stale,
  // The report names another address than that of the local backend server.
  Foreign,
};

[[nodiscard]] ReportVerdict
acceptReport(AnnounceState &State, const BackendReport &Report, TimePoint Now);

// Restores the report from before a restart of this node, unless a report has
// arrived since or the restored one names another address. Returns true if it
// was restored.
bool restore(AnnounceState &State, const BackendReport &Kept);

// Returns true if both reports restore the same state, so that only one of them
// has to be stored.
[[nodiscard]] bool restoresTheSame(const BackendReport &Left,
                                   const BackendReport &Right);

// Returns true if a stored report is not needed any more: its server has left,
// and no earlier report of it can still arrive. LeftAt and WallNow come from
// the clocks of different nodes.
[[nodiscard]] bool isObsolete(const BackendReport &Stored, TimePoint WallNow);

// Handles a response from the health endpoint in which the backend server names
// its instance. Returns true if this confirms the restored report.
bool confirm(AnnounceState &State, std::string_view Instance, TimePoint Now);

} // namespace magnolia::policy

#endif
