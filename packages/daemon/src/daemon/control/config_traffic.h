#ifndef DAEMON_CONTROL_CONFIG_TRAFFIC_H
#define DAEMON_CONTROL_CONFIG_TRAFFIC_H

#include <atomic>
#include <cstdint>

namespace magnolia::daemon {

// Counters of the configuration's propagation since start. Written by the
// control thread and the fibers that run control calls.
struct ConfigTraffic {
  std::atomic<std::uint64_t> FetchesStarted = 0;
  std::atomic<std::uint64_t> FetchesFailed = 0;
  // Fetches that the asked node postponed because it sends to another node.
  std::atomic<std::uint64_t> FetchesPostponed = 0;
  std::atomic<std::uint64_t> PatchesApplied = 0;
  // Patches to another revision or value than the one in the table.
  std::atomic<std::uint64_t> PatchesMisfit = 0;
  // Bodies of pushes, exchanges and fetches, in both directions of a call.
  std::atomic<std::uint64_t> BytesSent = 0;
  std::atomic<std::uint64_t> BytesReceived = 0;
};

} // namespace magnolia::daemon

#endif
