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

// Request as it goes from an entry node to a sidecar.
struct CallRequest {
  policy::RequestId Id;
  std::string Service;
  std::string Version;
  std::string Method;
  std::string Target;
  HttpHeaders Headers;
  std::string Body;
  bool Idempotent = false;
  policy::TimePoint Deadline{};
  // Hops of the call chain, this one included.
  std::uint32_t Hops = 1;
  // Run of the sidecar that the request is meant for; 0: any.
  policy::Incarnation SidecarRun = 0;
  std::string IdempotencyKey;
  // 0 is the most urgent.
  std::uint32_t Priority = 0;
  // Until when an answer meets the latency objective; zero: no objective.
  policy::TimePoint Objective{};
  // An earlier attempt has reached a backend server, so that this one counts
  // against the budget for repeats.
  bool Repeat = false;
  // The entry node can offer the request to another sidecar.
  bool HasChoice = false;
};

// Answer of a backend server, or an error of the system where Kind is set.
struct CallAnswer {
  std::uint16_t Status = 0;
  HttpHeaders Headers;
  std::string Body;
  std::optional<policy::ErrorKind> Kind;
  std::string Detail;
  policy::LoadReport Load;
  // The request was sent to the backend server, whether it ran or not.
  bool Reached = false;
};

[[nodiscard]] inline CallAnswer errorAnswer(policy::ErrorKind Kind,
                                            std::string Detail) {
  CallAnswer Answer;
  Answer.Kind = Kind;
  Answer.Detail = std::move(Detail);
  return Answer;
}

} // namespace magnolia::daemon

#endif
