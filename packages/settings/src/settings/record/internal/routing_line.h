#ifndef SETTINGS_RECORD_INTERNAL_ROUTING_LINE_H
#define SETTINGS_RECORD_INTERNAL_ROUTING_LINE_H

#include "policy/core/error.h"
#include "settings/record/caller_limits.h"
#include "settings/record/host_route.h"
#include "settings/record/organisation_record.h"
#include "settings/record/service_limits.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace magnolia::settings::internal {

class FieldReader;

// Begin of the line of a route, of an organisation and of a service. The line
// of an organisation also begins like that of a service.
inline constexpr std::string_view RouteLineStart = "[";
inline constexpr std::string_view OrganisationLineStart = "{\"organisation\":";
inline constexpr std::string_view ServiceLineStart = "{";

// Format lines of the routing table, without line breaks.
[[nodiscard]] std::string headLine(std::uint64_t Version,
                                   const CallerLimits &Callers);
[[nodiscard]] std::string routeLine(const HostRoute &Route);
[[nodiscard]] std::string serviceLine(const ServiceLimits &Service);
[[nodiscard]] std::string
organisationLine(const OrganisationRecord &Organisation);

// Parse one line without its line break. The error does not name the line.
[[nodiscard]] bool parseHeadLine(std::string_view Line, std::uint64_t &Version,
                                 CallerLimits &Callers,
                                 policy::Error &LastError);
[[nodiscard]] std::optional<HostRoute> parseRouteLine(std::string_view Line,
                                                      policy::Error &LastError);
[[nodiscard]] std::optional<ServiceLimits>
parseServiceLine(std::string_view Line, policy::Error &LastError);
// The error does not contain a key.
[[nodiscard]] std::optional<OrganisationRecord>
parseOrganisationLine(std::string_view Line, policy::Error &LastError);

// Read the fields that lines and documents of the previous format have in
// common. The reader keeps the first fault.
void readRouteFields(FieldReader &Fields, HostRoute &Route);
[[nodiscard]] RouteTarget readTarget(FieldReader &Fields);
[[nodiscard]] ServiceLimits readServiceFields(FieldReader &Fields);
[[nodiscard]] CallerLimits readCallerFields(FieldReader &Fields);

} // namespace magnolia::settings::internal

#endif
