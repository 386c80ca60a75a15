#ifndef POLICY_ROUTE_FEEDBACK_H
#define POLICY_ROUTE_FEEDBACK_H

#include "policy/core/error_kind.h"
#include "policy/route/route_state.h"

#include <optional>

namespace magnolia::policy {

// One request that was sent to a candidate. Every Dispatch ends in exactly one
// of onAnswer, onRejection and onFailure.
struct Dispatch {
  NodeId Node = 0;
  // Run of the candidate; feedback of an earlier run is ignored.
  Incarnation Run = 0;
  TimePoint Start{};
};

// Response of the backend server.
struct Answer {
  std::optional<LoadReport> Load{};
  // Server error (status 5xx) or broken response.
  bool Faulty = false;
};

// Counts a request as sent to the candidate.
[[nodiscard]] Dispatch onDispatch(RouteState &State, NodeId Node,
                                  TimePoint Now);

// Takes the response of the backend server into account.
void onAnswer(RouteState &State, const Dispatch &Sent, const Answer &Response,
              TimePoint Now);

// Takes a rejection by the sidecar into account: the request did not run.
void onRejection(RouteState &State, const Dispatch &Sent, ErrorKind Kind,
                 const std::optional<LoadReport> &Load, TimePoint Now);

// Takes a broken connection, a timeout, a cancellation by the caller
// (Cancelled) or a result of a fence into account.
void onFailure(RouteState &State, const Dispatch &Sent, ErrorKind Kind,
               TimePoint Now);

// Notes that a probe was sent to the candidate. Optional: without it a silent
// node is noticed by requests only.
void onProbe(RouteState &State, NodeId Node, TimePoint Now);

// Takes a load report outside of a request into account, as from a probe.
void onReport(RouteState &State, NodeId Node, const LoadReport &Load,
              TimePoint Now);

} // namespace magnolia::policy

#endif
