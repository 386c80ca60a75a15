#ifndef POLICY_FLEET_FWD_H
#define POLICY_FLEET_FWD_H

namespace magnolia::policy {

struct JoinOptions;
struct JoinState;
struct RepairOptions;
struct RepairState;
struct RestoreOptions;
struct RestoreState;
struct ServingMember;
struct ServingPlan;
struct ServingQuery;
struct StoreRead;
struct StoredClusterKey;

} // namespace magnolia::policy

#endif
