#ifndef POLICY_CHAIN_ADMITTED_ROUTE_H
#define POLICY_CHAIN_ADMITTED_ROUTE_H

#include "policy/chain/return_promise.h"
#include "policy/chain/route_counts.h"
#include "policy/chain/shed_episode.h"
#include "policy/core/types.h"

#include <cstddef>
#include <vector>

namespace magnolia::policy {

// State of one route at an entry node.
struct AdmittedRoute {
  static constexpr std::size_t MaxReports = 32;
  static constexpr std::size_t MaxPromises = 64;

  // Last counts of one sidecar.
  struct Report {
    NodeId Node = 0;
    RouteCounts Counts;
    TimePoint At{};
  };

  std::vector<Report> Reports;
  std::vector<ReturnPromise> Promises;
  // 0 is the highest.
  std::uint32_t Priority = 0;
  // Share of the requests that is admitted while the reports are fresh, and
  // the same as the reports reflect it.
  double Share = 1;
  double LaggedShare = 1;
  // Limit of the share: that of the higher ranks while they are shed and the
  // runs of this route have lost calls in the last seconds.
  double HigherShare = 1;
  TimePoint Stepped{};
  TimePoint LastLosses{};
  ShedEpisode Episode;
  // Share of the runs that lost a call, averaged over some seconds, and the
  // share that is accepted because shedding did not lower it.
  double AverageLoss = 0;
  double ToleratedLoss = 0;
  // Part of a request that may still be admitted; negative after returned
  // callers were admitted ahead of new ones.
  double Credit = 0;
  // Requests per second, averaged over about a second and over several.
  double Rate = 0;
  double SlowRate = 0;
  TimePoint LastRequest{};
  // Earliest moment that is not promised to a caller yet.
  TimePoint NextPlace{};
  std::uint64_t Shed = 0;
};

} // namespace magnolia::policy

#endif
