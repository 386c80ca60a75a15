#ifndef DAEMON_PEER_CALL_H
#define DAEMON_PEER_CALL_H

#include "daemon/http/message.h"
#include "policy/core/error_kind.h"
#include "policy/core/request_id.h"
#include "policy/load/load_report.h"

#include <cstdint>
#include <optional>
#include <string>

namespace magnolia::daemon {

// Calls made for a request that is already running take priority over new
// requests, because rejecting one wastes the work done for its parent.
inline constexpr std::uint32_t NestedCallPriority = 0;

// Request that an entry node sends to a sidecar.
struct CallRequest {
  policy::RequestId Id;
  std::string Service;
  std::string Version;
  std::string Method;
  std::string Target;
  HttpHeaders Headers;
  std::string Body;
  BodyShare Share;
  bool Idempotent = false;
  policy::TimePoint Deadline{};
  // Number of hops of the call chain, including this one.
  std::uint32_t Hops = 1;
  // Incarnation of the sidecar that the request is meant for; 0 means any.
  policy::Incarnation SidecarRun = 0;
  std::string IdempotencyKey;
  // Priority of the request; 0 is the highest.
  std::uint32_t Priority = 0;
  // Time until which a response meets the latency objective; zero means no
  // objective.
  policy::TimePoint Objective{};
  // True if an earlier attempt has reached a backend server. This attempt then
  // counts against the retry budget of the sidecar.
  bool Repeat = false;
  // True if the entry node can send the request to another sidecar instead.
  bool HasChoice = false;
  // Organisation of the caller; empty if none is configured.
  std::string Organisation;
  // True for a call that a backend server makes while it runs a request.
  bool Nested = false;
  // Name of the route that the entry node selected; empty if the routing table
  // names none.
  std::string Route;
  // True if the request or its response has a large body.
  bool Bulk = false;
  // True for a nested call of a request that was itself a retry. It counts
  // against the retry budget of the called service.
  bool OfRepeat = false;
};

// Response of a backend server, or an error of the system if Kind is set.
struct CallResponse {
  std::uint16_t Status = 0;
  HttpHeaders Headers;
  std::string Body;
  BodyShare Share;
  std::optional<policy::ErrorKind> Kind;
  std::string Detail;
  policy::LoadReport Load;
  // True if the request was sent to the backend server, whether it ran or not.
  bool Reached = false;
  // Runs of the route that ended at the sidecar in the last second, and those
  // of them that lost a nested call to a rejection.
  std::uint32_t RouteRuns = 0;
  std::uint32_t RouteLosses = 0;
};

[[nodiscard]] inline CallResponse callErrorResponse(policy::ErrorKind Kind,
                                                    std::string Detail) {
  CallResponse Response;
  Response.Kind = Kind;
  Response.Detail = std::move(Detail);
  return Response;
}

} // namespace magnolia::daemon

#endif
