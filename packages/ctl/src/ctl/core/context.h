#ifndef CTL_CORE_CONTEXT_H
#define CTL_CORE_CONTEXT_H

#include "ctl/core/output.h"
#include "ctl/node/call_node.h"
#include "ctl/node/fetch_from_node.h"
#include "ctl/options/ctl_options.h"
#include "policy/core/types.h"
#include "store/core/store_operations.h"

#include <chrono>
#include <functional>
#include <string>

namespace magnolia::ctl {

// Options and dependencies of a command. Tests replace them.
struct Context {
  CtlOptions Options;
  store::StoreOperations Store;
  NodeCaller CallNode;
  // Wall clock since the Unix epoch.
  std::function<policy::TimePoint()> Now;
  std::function<void(std::chrono::milliseconds)> Pause;
  // Random, so that no two writes have the same id.
  std::function<std::string()> NewOperationId;
  Output &Out;
  NodeFetcher Fetch = {};
};

} // namespace magnolia::ctl

#endif
