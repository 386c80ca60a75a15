#ifndef POLICY_LINK_TRANSFER_QUERY_H
#define POLICY_LINK_TRANSFER_QUERY_H

#include "policy/core/types.h"

namespace magnolia::policy {

// Request with a large body that asks for a share of the link.
struct TransferQuery {
  TimePoint Deadline{};
  // Latest time of a response that meets the latency objective; zero if there
  // is no objective.
  TimePoint Objective{};
};

} // namespace magnolia::policy

#endif
