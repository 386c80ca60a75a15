#ifndef POLICY_CHAIN_FWD_H
#define POLICY_CHAIN_FWD_H

namespace magnolia::policy {

struct AdmittedRoute;
struct ChainContext;
struct ChainHeader;
struct NestedResult;
struct RankedRoute;
struct ReturnPromise;
struct RouteAdmissionOptions;
struct RouteAdmissionState;
struct RouteArrival;
struct RouteCounts;
struct RouteDecision;
struct RouteEvidence;
struct RouteLossWindow;
struct ShedEpisode;

} // namespace magnolia::policy

#endif
