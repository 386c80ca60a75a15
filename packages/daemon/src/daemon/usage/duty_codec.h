#ifndef DAEMON_USAGE_DUTY_CODEC_H
#define DAEMON_USAGE_DUTY_CODEC_H

#include "policy/core/error.h"
#include "policy/usage/duty_record.h"

#include <optional>
#include <string>
#include <string_view>

namespace magnolia::daemon {

// Format the record of the holder as JSON for the store, and parse it. Parsing
// returns nothing and sets LastError if the text is not such a record.
[[nodiscard]] std::string formatDuty(const policy::DutyRecord &Record);
[[nodiscard]] std::optional<policy::DutyRecord>
parseDuty(std::string_view Text, policy::Error &LastError);

} // namespace magnolia::daemon

#endif
