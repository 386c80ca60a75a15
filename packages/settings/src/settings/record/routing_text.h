#ifndef SETTINGS_RECORD_ROUTING_TEXT_H
#define SETTINGS_RECORD_ROUTING_TEXT_H

#include "policy/core/error.h"
#include "settings/record/routing_record.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace magnolia::settings {

// Value of routing/table: lines separated by '\n'. The first line is a JSON
// object with the version and the limits of callers. One line for each route, a
// JSON array, and one for each service and each organisation, JSON objects,
// follow in byte order.
// Fields that have their default are left out. JSON escapes line breaks in
// texts. Equal routes have equal lines.
[[nodiscard]] std::string formatRouting(const RoutingRecord &Routing);

// Returns the line of one route, without a line break.
[[nodiscard]] std::string formatRoute(const HostRoute &Route);
// Formats a table whose routes are the lines, in any order, in place of those
// of the record.
[[nodiscard]] std::string
formatRouting(const RoutingRecord &Routing,
              std::vector<std::string_view> RouteLines);

// Parses a value in this format or a JSON document of the previous one. Every
// field is checked against its range; the error names the line, the field and
// the range.
[[nodiscard]] std::optional<RoutingRecord>
parseRouting(std::string_view Value, policy::Error &LastError);

} // namespace magnolia::settings

#endif
