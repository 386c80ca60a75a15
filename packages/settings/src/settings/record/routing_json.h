#ifndef SETTINGS_RECORD_ROUTING_JSON_H
#define SETTINGS_RECORD_ROUTING_JSON_H

#include "policy/core/error.h"
#include "settings/record/rollout_request.h"
#include "settings/record/routing_record.h"

#include <optional>
#include <string>
#include <string_view>

namespace magnolia::settings {

// Reads a routing table in the format of the previous builds: one JSON document
// with all routes. The error names the field and its range.
[[nodiscard]] std::optional<RoutingRecord>
parseRoutingDocument(std::string_view Value, policy::Error &LastError);

// JSON value of orders/<service>. Reading checks every field against its range;
// the error names the field and the range.
[[nodiscard]] std::string formatRolloutRequest(const RolloutRequest &Requested);
[[nodiscard]] std::optional<RolloutRequest>
parseRolloutRequest(std::string_view Value, policy::Error &LastError);

} // namespace magnolia::settings

#endif
