#ifndef SETTINGS_RECORD_FWD_H
#define SETTINGS_RECORD_FWD_H

namespace magnolia::settings {

struct ContactRecord;
struct RouteRecord;
struct ServiceRecord;
struct StoredMove;
struct ZoneRecord;

} // namespace magnolia::settings

#endif
