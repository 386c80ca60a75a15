#ifndef POLICY_CHAIN_ROUTE_EVIDENCE_H
#define POLICY_CHAIN_ROUTE_EVIDENCE_H

#include "policy/core/types.h"

namespace magnolia::policy {

struct AdmittedRoute;
struct RouteAdmissionOptions;

// Reports of a route, weighted by their age.
struct RouteEvidence {
  double Runs = 0;
  double Losses = 0;
  // Age of the newest report, at most the age at which it is outdated.
  Duration Age{};
  // Weight from 0 to 1; 0 if the reports are outdated or cover too few runs.
  double Trust = 0;

  // Share of the runs that lost a nested call, with one more run that did not:
  // a single loss among few runs says little.
  [[nodiscard]] double loss() const { return Losses / (Runs + 1); }
};

[[nodiscard]] RouteEvidence evidenceOf(const AdmittedRoute &Route,
                                       const RouteAdmissionOptions &Options,
                                       TimePoint Now);

} // namespace magnolia::policy

#endif
