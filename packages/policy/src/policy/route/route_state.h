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
  // Ejections that the minimum share prevented.
  std::uint64_t EjectionsRefused = 0;
  std::uint64_t NoneEligible = 0;
  // Candidates beyond RouteOptions::MaxCandidates.
  std::uint64_t CandidatesRefused = 0;
};

// Candidates of one version in RouteState::Active; the first Near of them are
// in the own zone.
struct VersionGroup {
  std::uint32_t Version = 0;
  std::uint32_t First = 0;
  std::uint32_t Count = 0;
  std::uint32_t Near = 0;
};

// All that an entry node knows of the candidates of one service. At most
// RouteOptions::MaxCandidates; guard it with one mutex.
struct RouteState {
  // Latest latencies of the service from which the median is taken.
  static constexpr std::size_t LatencyWindow = 64;

  RouteOptions Options;
  std::vector<Candidate> Candidates;
  std::unordered_map<NodeId, std::uint32_t> Index;
  // Candidates that are neither draining nor in a zone out of service, grouped
  // by version, those of the own zone first.
  std::vector<std::uint32_t> Active;
  std::vector<VersionGroup> Groups;
  // Number of Active candidates that are ejected or in trial, and the sum of
  // the failure rates of all Active ones.
  std::uint32_t Ejected = 0;
  double FailureSum = 0;
  std::array<Duration, LatencyWindow> Window{};
  std::size_t WindowCount = 0;
  // Median of Window; 0 until the first responses.
  Duration Median{0};
  RouteCounters Counters;
};

} // namespace magnolia::policy

#endif
