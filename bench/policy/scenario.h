#ifndef BENCH_POLICY_SCENARIO_H
#define BENCH_POLICY_SCENARIO_H

#include "policy/route/compare/baseline.h"

#include "policy/core/error_kind.h"

#include <optional>
#include <string>
#include <vector>

namespace magnolia::policy::bench {

// Sizes of one deployment as of today.
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
  // The first server is ten times slower.
  Slow,
  // The first server answers every request at once with an error.
  FailFast,
  // The first server takes requests and never answers; its sidecar neither.
  Silent,
  // The first server is down for a while and cold afterwards.
  Restart,
  // All servers are cold at the start.
  AllCold,
  // The load reports of the first server say that it is idle and fast.
  Lying,
};

// One run of the model.
struct Scenario {
  Deployment Size;
  // None: choose of policy/route.
  std::optional<Baseline> Algorithm;
  Fault Kind = Fault::None;
  std::uint64_t Seed = 1;
  // Offered load over the capacity of all servers.
  double Load = 0.5;
  Duration Length = std::chrono::seconds(6);
  Duration FaultAt = std::chrono::seconds(1);
  Duration Deadline = std::chrono::milliseconds(500);
  Duration ColdStart = std::chrono::seconds(3);
  double IdempotentShare = 0.8;
  bool Shed = false;
  bool Hedge = false;
};

// Noisy neighbours: each server changes between a calm and a noisy factor of
// its service time at random times.
inline constexpr double NoisyShare = 0.2;
inline constexpr double NoisyFactor = 1.8;
inline constexpr double CalmFactor = 0.8;

// What one run measured. Requests count from FaultAt on.
struct Measures {
  // As callers see it, of requests with a response, in milliseconds.
  std::vector<double> Latencies;
  std::uint64_t Requests = 0;
  std::uint64_t Good = 0;
  std::uint64_t Errors = 0;
  std::array<std::uint64_t, ErrorKindCount> ErrorKinds{};
  std::uint64_t Shed = 0;
  // Requests that met a server without a free slot.
  std::uint64_t Overloads = 0;
  std::uint64_t Probes = 0;
  // Largest excess of probes over the budget at any time; at most 0 is held.
  double ProbeExcess = -1e9;
  // Time from the fault until the share of the attempts that go to the faulty
  // server, trials apart, stays below DetectShare, in milliseconds.
  double DetectMs = 0;
  // Most attempts, trials apart, that one entry node sends to the faulty server
  // before it first ejects it.
  std::uint32_t Exposed = 0;
  // Attempts, and those of them, trials included, that go to the faulty server
  // later than LateAfter after the fault.
  std::uint64_t Attempts = 0;
  std::uint64_t LateAttempts = 0;
  // Ejections by all entry nodes, and those of servers without a fault.
  std::uint64_t Ejections = 0;
  std::uint64_t FalseEjections = 0;
  // Smallest share of eligible candidates on any entry node.
  double MinEligible = 1;
  // Limit of the cold-start ramp of the first server at the end.
  std::uint32_t RampAtEnd = 0;
};

// Time after a fault by which it should have been noticed.
inline constexpr Duration LateAfter = std::chrono::milliseconds(100);

// A quarter of the attempts goes to each of four servers without a fault.
inline constexpr double DetectShare = 0.1;
inline constexpr Duration DetectBucket = std::chrono::milliseconds(10);

// Requests per second that all servers of the service complete at most.
[[nodiscard]] double capacityOf(const Deployment &Size);

[[nodiscard]] Measures run(const Scenario &Plan);

// Value below which the share of the sorted or unsorted values lies.
[[nodiscard]] double quantile(std::vector<double> Values, double Share);

} // namespace magnolia::policy::bench

#endif
