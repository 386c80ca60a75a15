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

// Takes over from the store that a lifetime has said that it leaves.
void noteLeaving(AnnounceState &State, std::string_view Instance,
                 Incarnation Born);

} // namespace magnolia::policy

#endif
