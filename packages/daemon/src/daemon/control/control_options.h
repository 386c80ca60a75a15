#ifndef DAEMON_CONTROL_CONTROL_OPTIONS_H
#define DAEMON_CONTROL_CONTROL_OPTIONS_H

#include "daemon/usage/usage_setup.h"
#include "policy/core/types.h"
#include "policy/fleet/join_options.h"
#include "policy/membership/contact.h"
#include "policy/membership/member.h"
#include "policy/overload/workload_aware.h"
#include "store/client/http_store.h"
#include "store/core/store_operations.h"
#include "store/core/watch_result.h"
#include "wire/seal/cluster_key.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace magnolia::daemon {

struct ControlOptions {
  // Identity, addresses, zone and initial state of this node.
  policy::Member Self;
  wire::ClusterKey Key;
  // Seed nodes from the settings. The contacts in the store are added to them.
  std::vector<policy::Contact> Contacts;
  std::string StoreAddress;
  // 0 for a node without a store, which gets its configuration from its peers.
  std::uint16_t StorePort = 0;
  // Network round-trip cost of a request to another zone of the region, and to
  // another region.
  policy::Duration ZoneDistance = std::chrono::milliseconds(1);
  policy::Duration RegionDistance = std::chrono::milliseconds(30);
  std::uint64_t Seed = 0;
  // Whether the sidecar counts the losses of nested calls.
  policy::WorkloadSetting WorkloadAware = policy::WorkloadSetting::Off;
  store::StoreOperations (*OpenStore)(const store::HttpStoreOptions &Options) =
      store::httpStore;
  policy::JoinOptions Join;
  // Records that the node read from the store at startup, if any.
  std::optional<store::WatchResult> StartRecords;
  // Store key of the local backend server's record, and the handler that
  // receives its value.
  std::string BackendKey;
  std::function<void(std::string_view Value)> OnBackendRecord;
  // Stores the local backend server's last report again if the store lost it.
  // Returns false on failure. Called on the thread for store jobs.
  std::function<bool()> StoreReportAgain;
  // Receiver of the usage report. Empty if there is none.
  std::optional<UsageSetup> Usage;
};

} // namespace magnolia::daemon

#endif
