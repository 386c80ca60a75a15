#ifndef SETTINGS_RECORD_INTERNAL_ROUTING_LINE_H
#define SETTINGS_RECORD_INTERNAL_ROUTING_LINE_H

#include "policy/core/error.h"
#include "settings/record/caller_limits.h"
#include "settings/record/host_route.h"
#include "settings/record/service_limits.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace magnolia::settings::internal {

class FieldReader;

// First character of the line of a route and of a service.
inline constexpr char RouteLineStart = '[';
inline constexpr char ServiceLineStart = '{';

// Format lines of the routing table, without line breaks.
[[nodiscard]] std::string headLine(std::uint64_t Version,
                                   const CallerLimits &Callers);
[[nodiscard]] std::string routeLine(const HostRoute &Route);
[[nodiscard]] std::string serviceLine(const ServiceLimits &Service);

// Parse one line without its line break. The error does not name the line.
[[nodiscard]] bool parseHeadLine(std::string_view Line, std::uint64_t &Version,
                                 CallerLimits &Callers,
                                 policy::Error &LastError);
[[nodiscard]] std::optional<HostRoute> parseRouteLine(std::string_view Line,
                                                      policy::Error &LastError);
[[nodiscard]] std::optional<ServiceLimits>
parseServiceLine(std::string_view Line, policy::Error &LastError);

// Read the fields that lines and documents of the previous format have in
// common. The reader keeps the first fault.
void readRouteFields(FieldReader &Fields, HostRoute &Route);
[[nodiscard]] RouteTarget readTarget(FieldReader &Fields);
[[nodiscard]] ServiceLimits readServiceFields(FieldReader &Fields);
[[nodiscard]] CallerLimits readCallerFields(FieldReader &Fields);

} // namespace magnolia::settings::internal

#endif
