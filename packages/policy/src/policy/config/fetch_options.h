#ifndef POLICY_CONFIG_FETCH_OPTIONS_H
#define POLICY_CONFIG_FETCH_OPTIONS_H

#include "policy/core/types.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace magnolia::policy {

// Bounds and times of the fetches of large values.
struct FetchOptions {
  // Keys with a known newer revision. Exchanges announce the rest again.
  std::size_t MaxKeys = 1'024;
  // Nodes remembered for a key.
  std::size_t MaxSources = 8;
  // Fetches in flight, one for a key.
  std::size_t MaxInFlight = 4;
  // A fetch may take this time and that of the value at the lowest rate. After
  // a failure the next one may take twice as long.
  Duration BaseTimeout = std::chrono::milliseconds(1'000);
  std::size_t MinBytesPerSecond = 250'000;
  Duration MaxTimeout = std::chrono::seconds(10);
  // Pause before a node that failed is asked again; doubles with each failure
  // of the key.
  Duration Backoff = std::chrono::milliseconds(200);
  Duration MaxBackoff = std::chrono::seconds(2);
  // From this number of failures of a key on, no other node is asked before the
  // pause is over either.
  std::uint32_t FailuresBeforePause = 3;
  // A revision that no node has announced for this time is forgotten: the
  // nodes that had it are gone.
  Duration ForgetAfter = std::chrono::seconds(30);
};

} // namespace magnolia::policy

#endif
