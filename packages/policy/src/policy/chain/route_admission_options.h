#ifndef POLICY_CHAIN_ROUTE_ADMISSION_OPTIONS_H
#define POLICY_CHAIN_ROUTE_ADMISSION_OPTIONS_H

#include "policy/core/types.h"

#include <cstdint>

namespace magnolia::policy {

// Parameters of the admission by losses of nested calls.
struct RouteAdmissionOptions {
  // Share of the runs that may lose a nested call before the admitted share
  // falls. Above 0, so that the called service stays fully used.
  double TargetLoss = 0.05;
  // Fraction of the excess losses by which the admitted share falls. Runs with
  // several nested calls lose more than the called service lacks, so that the
  // whole excess would admit too little.
  double Decrease = 0.5;
  // The same for a route while one of a higher rank loses calls too.
  double DecreaseOfLowerRank = 1.0;
  // Growth of the admitted share over one lag without losses. It rises by as
  // much for each second since the last losses, up to the maximum, so that a
  // service that has recovered is used again within seconds.
  double Increase = 0.05;
  double MaxIncrease = 0.3;
  // Growth of a lower rank, as a multiple, while a higher one is shed.
  double IncreaseOfLowerRank = 0.25;
  // Minimum admitted share: it shows when the called service recovers.
  double MinShare = 0.05;
  // Each rank keeps this multiple of the share that all of them get.
  double RankFloor = 0.25;
  // Part of the admitted requests at the start of an episode of losses below
  // which it is tested whether shedding helps.
  double TestedShare = 0.8;
  // Interval of the changes, and the time from a change of the share until the
  // counts reflect it: a run, half of the window, and half of the time between
  // two reports.
  Duration Step = std::chrono::milliseconds(200);
  Duration Lag = std::chrono::milliseconds(800);
  // Reports have full weight up to the first age and none from the second on.
  Duration FullTrustAge = std::chrono::milliseconds(500);
  Duration MaxAge = std::chrono::seconds(1);
  // Minimum number of weighted runs in the reports.
  double MinRuns = 2;
  // Share of the admitted requests that is promised to callers that return.
  double ReturnShare = 0.5;
};

} // namespace magnolia::policy

#endif
