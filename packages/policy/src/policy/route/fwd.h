#ifndef POLICY_ROUTE_FWD_H
#define POLICY_ROUTE_FWD_H

namespace magnolia::policy {

struct ResponseInfo;
struct Candidate;
struct CandidateSpec;
struct Dispatch;
struct RouteCounters;
struct RouteOptions;
struct RouteQuery;
struct RouteState;
struct VersionShare;

} // namespace magnolia::policy

#endif
