#ifndef SETTINGS_RECORD_BACKEND_RECORD_H
#define SETTINGS_RECORD_BACKEND_RECORD_H

#include "policy/announce/backend_report.h"
#include "policy/core/error.h"

#include <optional>
#include <string>
#include <string_view>

namespace magnolia::settings {

// Value under backends/<address>: the last report of a backend server, which
// its node restores after a restart.
[[nodiscard]] std::string formatBackend(const policy::BackendReport &Report);
[[nodiscard]] std::optional<policy::BackendReport>
parseBackend(std::string_view Value, policy::Error &LastError);

} // namespace magnolia::settings

#endif
