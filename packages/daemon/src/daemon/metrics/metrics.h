#ifndef DAEMON_METRICS_METRICS_H
#define DAEMON_METRICS_METRICS_H

#include "policy/core/error_kind.h"
#include "policy/core/types.h"

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace magnolia::daemon {

enum class Counter : std::uint8_t {
  Requests,
  Responses,
  Attempts,
  LocalAttempts,
  Retries,
  Hedges,
  HedgesWon,
  HedgesCancelled,
  HedgesOverLimit,
  HedgesRefused,
  Fences,
  FencesNeverRun,
  FencesStarted,
  FencesSilent,
  Cancels,
  RequestsShed,
  ReturnsKept,
  NestedCallsLost,
  SilentConnections,
  PeerConnectFailures,
  HandshakesRefused,
  BrokenFrames,
  Probes,
  ProbesFailed,
  SidecarRequests,
  BackendConnections,
  BackendConnectFailures,
  BackendBrokenAnswers,
  BackendRestarts,
  BackendSheds,
  BackendExtraAnswers,
  LoadPolls,
  MalformedRequests,
  LinkRejections,
  PipelinedRequests,
  PipelinePauses,
  ColdWaits,
  ColdWaitsStarted,
};

inline constexpr std::size_t CounterCount =
    static_cast<std::size_t>(Counter::ColdWaitsStarted) + 1;

enum class Timing : std::uint8_t {
  // Entry node: from the arrival of the complete request to the complete
  // response, with the time behind others on its connection.
  Request,
  // Sidecar: from the request to the backend server to its complete response.
  Backend,
  // Sidecar: time that a request spends outside of the backend server.
  SidecarOwn,
};

inline constexpr std::size_t TimingCount =
    static_cast<std::size_t>(Timing::SidecarOwn) + 1;

// Counters and latency histograms of one node. All functions are thread-safe.
class Metrics {
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics &) = delete;
  Metrics &operator=(const Metrics &) = delete;

  void count(Counter Which, std::uint64_t By = 1);
  // Counts an error response to a caller.
  void countError(policy::ErrorKind Kind);
  void time(Timing Which, policy::Duration Length);

  [[nodiscard]] std::uint64_t value(Counter Which) const;
  [[nodiscard]] std::uint64_t errors(policy::ErrorKind Kind) const;
  [[nodiscard]] static std::string_view name(Counter Which);

  // All metrics in the Prometheus text format.
  [[nodiscard]] std::string prometheusText() const;

private:
  struct Histograms;

  std::array<std::atomic<std::uint64_t>, CounterCount> Counts{};
  std::array<std::atomic<std::uint64_t>, policy::ErrorKindCount> Errors{};
  std::unique_ptr<Histograms> Times;
};

} // namespace magnolia::daemon

#endif
