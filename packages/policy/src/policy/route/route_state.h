#ifndef POLICY_ROUTE_ROUTE_STATE_H
#define POLICY_ROUTE_ROUTE_STATE_H

#include "policy/route/candidate.h"
#include "policy/route/route_options.h"

#include <array>
#include <unordered_map>
#include <vector>

namespace magnolia::policy {

// Counters of one service, for metrics.
struct RouteCounters {
  std::uint64_t Chosen = 0;
  std::uint64_t Trials = 0;
  std::uint64_t Ejections = 0;
  // Ejections prevented because at least half of the candidates must stay
  // eligible.
  std::uint64_t EjectionsRefused = 0;
  std::uint64_t NoneEligible = 0;
  // Choices for which a candidate counted as full because of the use of its
  // link or a failed connection attempt.
  std::uint64_t LinkBusy = 0;
  std::uint64_t ConnectFailed = 0;
  // Candidates beyond RouteOptions::MaxCandidates.
  std::uint64_t CandidatesRefused = 0;
};

// Range of the candidates of one version in RouteState::Active; the first
// LocalCount of them are in the local zone.
struct VersionGroup {
  std::uint32_t Version = 0;
  std::uint32_t First = 0;
  std::uint32_t Count = 0;
  std::uint32_t LocalCount = 0;
};

// State that an entry node keeps about the candidates of one service, at most
// RouteOptions::MaxCandidates of them. It is not thread-safe; callers guard it
// with one mutex.
struct RouteState {
  // Number of latest latencies of the service from which the median is
  // computed.
  static constexpr std::size_t LatencyWindow = 64;

  RouteOptions Options;
  std::vector<Candidate> Candidates;
  std::unordered_map<NodeId, std::uint32_t> Index;
  // Positions in Candidates of those that are neither draining nor in a zone
  // out of service, grouped by version, with the local zone first.
  std::vector<std::uint32_t> Active;
  std::vector<VersionGroup> Groups;
  // Number of active candidates that are ejected or have a trial request in
  // flight, and the sum of the failure rates of all active candidates.
  std::uint32_t Ejected = 0;
  double FailureSum = 0;
  std::array<Duration, LatencyWindow> Window{};
  std::size_t WindowCount = 0;
  // Median of Window; 0 until there are enough responses.
  Duration Median{0};
  RouteCounters Counters;
};

} // namespace magnolia::policy

#endif
