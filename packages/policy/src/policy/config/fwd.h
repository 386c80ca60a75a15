#ifndef POLICY_CONFIG_FWD_H
#define POLICY_CONFIG_FWD_H

namespace magnolia::policy {

struct ConfigCounters;
struct ConfigDiff;
struct ConfigDigest;
struct ConfigEntry;
struct ConfigLimits;
struct ConfigTable;
struct KeyRevision;
struct PatchHistory;
struct PatchStep;
struct PushOptions;
struct ValuePatch;

} // namespace magnolia::policy

#endif
