#ifndef DAEMON_VIEW_RESPONSE_RECORDER_H
#define DAEMON_VIEW_RESPONSE_RECORDER_H

#include "policy/core/types.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace magnolia::daemon {

// Bucket I counts latencies below 2^I x 100 us; the last one counts the rest.
inline constexpr std::size_t LatencyBucketCount = 20;
inline constexpr policy::Duration LatencyBucketUnit =
    std::chrono::microseconds(100);

[[nodiscard]] std::size_t latencyBucketOf(policy::Duration Latency);

// One response that a traffic thread received.
struct ResponseSample {
  std::string_view Service;
  // Path prefix of the route rule; "/" without a rule.
  std::string_view Route;
  std::string_view Version;
  bool Failed = false;
  policy::Duration Latency{};
};

// Response statistics of one route and version since the last drain.
struct ResponseCounts {
  std::string Service;
  std::string Route;
  std::string Version;
  std::uint64_t Requests = 0;
  std::uint64_t Failures = 0;
  std::array<std::uint32_t, LatencyBucketCount> LatencyBuckets{};
};

// Collects the response statistics of all versions from the traffic threads.
class ResponseRecorder {
public:
  // Called by the traffic thread for each sample, after it is counted. It must
  // be fast, and it must be set before the first sample is recorded.
  using Hook = std::function<void(const ResponseSample &)>;

  explicit ResponseRecorder(std::size_t MaximumEntries = 4096);

  void setHook(Hook NewHook);
  void record(const ResponseSample &Sample);

  // Returns the counts and resets them.
  [[nodiscard]] std::vector<ResponseCounts> drain();

  // Number of samples that were not counted because the table was full.
  [[nodiscard]] std::uint64_t dropped() const;

private:
  using Key = std::array<std::string, 3>;
  struct KeyLess {
    // Name that the standard containers require for heterogeneous lookup.
    // NOLINTNEXTLINE(readability-identifier-naming)
    using is_transparent = void;
    using View = std::array<std::string_view, 3>;
    static View view(const Key &K) { return {K[0], K[1], K[2]}; }
    static View view(const View &K) { return K; }
    template <class A, class B>
    bool operator()(const A &Left, const B &Right) const {
      return view(Left) < view(Right);
    }
  };

  const std::size_t MaximumEntries;
  Hook OnSample;
  mutable std::mutex Mutex;
  std::map<Key, ResponseCounts, KeyLess> Entries;
  std::uint64_t Dropped = 0;
};

} // namespace magnolia::daemon

#endif
