#ifndef SETTINGS_SERVICE_FWD_H
#define SETTINGS_SERVICE_FWD_H

namespace magnolia::settings {

struct RolloutDeadline;
struct RolloutPlan;
struct ServiceFile;

} // namespace magnolia::settings

#endif
