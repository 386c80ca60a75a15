#ifndef DAEMON_CONTROL_CONTROL_OPTIONS_H
#define DAEMON_CONTROL_CONTROL_OPTIONS_H

#include "policy/core/types.h"
#include "policy/fleet/join_options.h"
#include "policy/membership/contact.h"
#include "policy/membership/member.h"
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
  // Identity, addresses, place and first facts of this node.
  policy::Member Self;
  wire::ClusterKey Key;
  // Seed nodes from the settings; the store adds its own.
  std::vector<policy::Contact> Contacts;
  std::string StoreAddress;
  // 0 for a node without a store, which learns everything from its peers.
  std::uint16_t StorePort = 0;
  // Cost of a request to another zone of the region, and to another region.
  policy::Duration ZoneDistance = std::chrono::milliseconds(1);
  policy::Duration RegionDistance = std::chrono::milliseconds(30);
  std::uint64_t Seed = 0;
  // Opens the store.
  store::StoreOperations (*OpenStore)(const store::HttpStoreOptions &Options) =
      store::httpStore;
  policy::JoinOptions Join;
  // Records that were read at the start, if any.
  std::optional<store::WatchResult> Known;
  // Address of the backend server beside the node, and what takes the record
  // that the store has of it.
  std::string BackendKey;
  std::function<void(std::string_view Value)> OnBackendRecord;
};

} // namespace magnolia::daemon

#endif
