#ifndef POLICY_ANNOUNCE_ACCEPT_REPORT_H
#define POLICY_ANNOUNCE_ACCEPT_REPORT_H

#include "policy/announce/announce_state.h"
#include "policy/announce/backend_report.h"

#include <cstdint>
#include <string_view>

namespace magnolia::policy {

enum class ReportVerdict : std::uint8_t {
  // Known holds the report now.
  Accepted,
  // It is of an earlier lifetime, or was overtaken by a later report.
  Stale,
  // It names another address than that of the backend server beside the node.
  Foreign,
};

[[nodiscard]] ReportVerdict
acceptReport(AnnounceState &State, const BackendReport &Report, TimePoint Now);

// Takes over what was known before a restart of this node, unless a report has
// come since. False where it is not of use.
bool restore(AnnounceState &State, const BackendReport &Kept);

// The backend server says on its health endpoint which instance it is. True
// where this confirms what was restored.
bool confirm(AnnounceState &State, std::string_view Instance, TimePoint Now);

} // namespace magnolia::policy

#endif
