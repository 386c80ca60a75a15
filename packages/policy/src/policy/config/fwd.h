#ifndef POLICY_CONFIG_FWD_H
#define POLICY_CONFIG_FWD_H

namespace magnolia::policy {

struct Announcement;
struct ConfigCounters;
struct ConfigDiff;
struct ConfigDigest;
struct ConfigEntry;
struct ConfigLimits;
struct ConfigTable;
struct FetchCall;
struct FetchOptions;
struct FetchSource;
struct FetchState;
struct KeyFetch;
struct KeyRevision;
struct PatchHistory;
struct PatchStep;
struct PushOptions;
struct SendPace;
struct ValuePatch;

} // namespace magnolia::policy

#endif
