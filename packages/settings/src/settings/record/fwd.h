#ifndef SETTINGS_RECORD_FWD_H
#define SETTINGS_RECORD_FWD_H

namespace magnolia::settings {

struct CallerLimits;
struct ContactRecord;
struct HostRoute;
struct OrganisationRecord;
struct RolloutRequest;
struct RouteRecord;
struct RouteTarget;
struct RoutingChange;
struct RoutingLines;
struct RoutingRecord;
struct ServiceLimits;
struct ServiceRecord;
struct StoredRollout;
struct ZoneRecord;

} // namespace magnolia::settings

#endif
