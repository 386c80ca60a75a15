#ifndef SETTINGS_SERVICE_FWD_H
#define SETTINGS_SERVICE_FWD_H

namespace magnolia::settings {

struct MoveDeadline;
struct MovePlan;
struct ServiceFile;

} // namespace magnolia::settings

#endif
