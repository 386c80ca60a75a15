#ifndef BENCH_POLICY_SCENARIO_H
#define BENCH_POLICY_SCENARIO_H

#include "policy/route/compare/baseline.h"

#include "policy/core/error_kind.h"

#include <optional>
#include <string>
#include <vector>

namespace magnolia::policy::bench {

// Sizes of one deployment as it is today.
struct Deployment {
  std::string Name;
  // Zone of each backend server of the service.
  std::vector<std::uint32_t> Zones;
  std::uint32_t Entries = 6;
  std::uint32_t Slots = 12;
  std::uint32_t Connections = 200;
  Duration ZoneOneWay = std::chrono::milliseconds(1);
  Duration ClientOneWay = std::chrono::milliseconds(3);
  // Mean service time of a warm server without noise.
  Duration Service = std::chrono::milliseconds(4);
};

[[nodiscard]] std::vector<Deployment> deployments();

enum class Fault : std::uint8_t {
  None,
  // The first server becomes ten times slower.
  Slow,
  // The first server fails every request immediately.
  FailFast,
  // The first server accepts requests but does not respond, and neither does
  // its sidecar.
  Silent,
  // The first server is down for a while and cold afterwards.
  Restart,
  // All servers are cold at the start.
  AllCold,
  // The load reports of the first server show it as idle and fast.
  Lying,
};

// Parameters of one simulation run.
struct Scenario {
  Deployment Size;
  // Baseline to simulate; if none, choose() of policy/route.
  std::optional<Baseline> Algorithm;
  Fault Kind = Fault::None;
  std::uint64_t Seed = 1;
  // Offered load divided by the capacity of all servers.
  double Load = 0.5;
  Duration Length = std::chrono::seconds(6);
  Duration FaultAt = std::chrono::seconds(1);
  Duration Deadline = std::chrono::milliseconds(500);
  Duration ColdStart = std::chrono::seconds(3);
  double IdempotentShare = 0.8;
  bool Shed = false;
  bool Hedge = false;
};

// Noisy neighbours: at random times, the service time of each server switches
// between a calm and a noisy factor.
inline constexpr double NoisyShare = 0.2;
inline constexpr double NoisyFactor = 1.8;
inline constexpr double CalmFactor = 0.8;

// Results of one run. Requests count from FaultAt on.
struct Measures {
  // Latencies of requests with a response, as callers see them, in
  // milliseconds.
  std::vector<double> Latencies;
  std::uint64_t Requests = 0;
  std::uint64_t Good = 0;
  std::uint64_t Errors = 0;
  std::array<std::uint64_t, ErrorKindCount> ErrorKinds{};
  std::uint64_t Shed = 0;
  // Requests that reached a server without a free slot.
  std::uint64_t Overloads = 0;
  std::uint64_t Probes = 0;
  // Largest excess of probes over the budget at any time. The budget is kept if
  // this is at most 0.
  double ProbeExcess = -1e9;
  // Time from the fault until the faulty server's share of the attempts,
  // without trial requests, stays below DetectShare, in milliseconds.
  double DetectMs = 0;
  // Maximum number of attempts, without trial requests, that one entry node
  // sends to the faulty server before it first ejects it.
  std::uint32_t Exposed = 0;
  // Attempts, and the part of them, including trial requests, that goes to the
  // faulty server later than LateAfter after the fault.
  std::uint64_t Attempts = 0;
  std::uint64_t LateAttempts = 0;
  // Ejections by all entry nodes, and the part of them that hit servers without
  // a fault.
  std::uint64_t Ejections = 0;
  std::uint64_t FalseEjections = 0;
  // Smallest share of eligible candidates on any entry node.
  double MinEligible = 1;
  // Cold-start ramp limit of the first server at the end of the run.
  std::uint32_t RampAtEnd = 0;
};

// Time after a fault within which it should be detected.
inline constexpr Duration LateAfter = std::chrono::milliseconds(100);

// Without a fault, each of the four servers gets a quarter of the attempts.
inline constexpr double DetectShare = 0.1;
inline constexpr Duration DetectBucket = std::chrono::milliseconds(10);

// Maximum requests per second that all servers of the service complete.
[[nodiscard]] double capacityOf(const Deployment &Size);

[[nodiscard]] Measures run(const Scenario &Plan);

// Returns the quantile of the values, which need not be sorted.
[[nodiscard]] double quantile(std::vector<double> Values, double Share);

} // namespace magnolia::policy::bench

#endif
