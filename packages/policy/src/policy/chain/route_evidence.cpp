#include "policy/chain/route_evidence.h"

#include "policy/chain/admitted_route.h"
#include "policy/chain/route_admission_options.h"

#include <algorithm>

namespace magnolia::policy {

namespace {

double trustOf(Duration Age, const RouteAdmissionOptions &Options) {
  const std::chrono::duration<double> Left = Options.MaxAge - Age;
  const std::chrono::duration<double> Fading =
      Options.MaxAge - Options.FullTrustAge;
  return std::clamp(Left / Fading, 0.0, 1.0);
}

} // namespace

RouteEvidence evidenceOf(const AdmittedRoute &Route,
                         const RouteAdmissionOptions &Options, TimePoint Now) {
  RouteEvidence Sum{.Age = Options.MaxAge};
  for (const AdmittedRoute::Report &Next : Route.Reports) {
    const double Weight = trustOf(Now - Next.At, Options);
    Sum.Runs += Weight * Next.Counts.Runs;
    Sum.Losses += Weight * Next.Counts.Losses;
    Sum.Age = std::min(Sum.Age, Now - Next.At);
    Sum.Trust = std::max(Sum.Trust, Weight);
  }
  // The fading weight must not end the evidence of a route before its age does.
  if (Sum.Trust > 0 && Sum.Runs / Sum.Trust < Options.MinRuns) {
    Sum.Trust = 0;
  }
  return Sum;
}

} // namespace magnolia::policy
