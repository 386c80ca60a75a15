#ifndef POLICY_ZONE_FWD_H
#define POLICY_ZONE_FWD_H

namespace magnolia::policy {

struct ZoneRecord;
struct ZoneView;

} // namespace magnolia::policy

#endif
