#ifndef SETTINGS_NODE_FWD_H
#define SETTINGS_NODE_FWD_H

namespace magnolia::settings {

struct HostPort;
struct NodeSettings;
struct SettingChanges;
struct SettingEntry;
struct SettingValue;
struct StaticEndpoint;

} // namespace magnolia::settings

#endif
