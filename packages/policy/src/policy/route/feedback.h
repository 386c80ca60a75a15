#ifndef POLICY_ROUTE_FEEDBACK_H
#define POLICY_ROUTE_FEEDBACK_H

#include "policy/core/error_kind.h"
#include "policy/route/route_state.h"

#include <optional>

namespace magnolia::policy {

// One request that was sent to a candidate. Each Dispatch is passed to exactly
// one of onResponse, onRejection and onFailure.
struct Dispatch {
  NodeId Node = 0;
  // Incarnation of the candidate; feedback about an earlier incarnation is
  // ignored.
  Incarnation Run = 0;
  TimePoint Start{};
};

// Response of the backend server.
struct ResponseInfo {
  std::optional<LoadReport> Load{};
  // Server error (status 5xx) or broken response.
  bool Faulty = false;
};

// Records that a request is sent to the candidate.
[[nodiscard]] Dispatch onDispatch(RouteState &State, NodeId Node,
                                  TimePoint Now);

// Records the response of the backend server.
void onResponse(RouteState &State, const Dispatch &Sent,
                const ResponseInfo &Response, TimePoint Now);

// Records a rejection by the sidecar: the request did not run.
void onRejection(RouteState &State, const Dispatch &Sent, ErrorKind Kind,
                 const std::optional<LoadReport> &Load, TimePoint Now);

// Records a broken connection, a timeout, a cancellation by the caller
// (Cancelled) or the result of a fence.
void onFailure(RouteState &State, const Dispatch &Sent, ErrorKind Kind,
               TimePoint Now);

// Records that a connection attempt to the candidate was refused or timed out,
// before onFailure for the same request.
void onConnectFailure(RouteState &State, const Dispatch &Sent, TimePoint Now);

// Records that a probe was sent to the candidate. Without this call, only
// requests detect a node that does not respond.
void onProbe(RouteState &State, NodeId Node, TimePoint Now);

// Records a load report that did not come with a response, such as one from a
// probe.
void onReport(RouteState &State, NodeId Node, const LoadReport &Load,
              TimePoint Now);

} // namespace magnolia::policy

#endif
