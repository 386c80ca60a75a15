#ifndef POLICY_CONFIG_KEY_FETCH_H
#define POLICY_CONFIG_KEY_FETCH_H

#include "policy/config/fetch_source.h"
#include "policy/core/types.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace magnolia::policy {

// What a node knows of a key of which a newer revision than its own exists.
struct KeyFetch {
  // Highest revision announced.
  std::uint64_t Known = 0;
  // Size of the value of that revision; 0 if it is not known.
  std::size_t Bytes = 0;
  // Forwarding rounds left for the value, the highest announced.
  std::uint32_t Rounds = 0;
  TimePoint HeardAt;
  std::vector<FetchSource> Sources;
  // Consecutive failures.
  std::uint32_t Failures = 0;
  // No node is asked before.
  TimePoint NotBefore;
  // True after patches did not fit: only the whole value helps.
  bool NeedsValue = false;
  // Identifier of the fetch in flight; 0 for none.
  std::uint64_t InFlight = 0;
  // The fetch in flight has failed if no response was processed until then.
  TimePoint Overdue;
  NodeId AskedNode = 0;
  // Revision that the asked node had announced.
  std::uint64_t AskedRevision = 0;
};

} // namespace magnolia::policy

#endif
