#ifndef LOOPBACK_CALL_H
#define LOOPBACK_CALL_H

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace magnolia::bench {

using Clock = std::chrono::steady_clock;

// Path of a request from the caller to the backend server.
enum class RequestPath : std::uint8_t {
  // Through an entry node and a sidecar.
  System,
  // Directly to one backend server.
  Direct,
  // Through two relays that only copy bytes, to the same backend server.
  Relays,
  // Directly to all backend servers in turn.
  RoundRobin,
};

// Call as planned.
struct Call {
  RequestPath Via = RequestPath::System;
  std::string Service;
  std::string Path;
  std::string Token;
  std::size_t Bytes = 0;
  bool Idempotent = true;
};

// How a call ended.
enum class CallEnd : std::uint8_t {
  // A backend server responded.
  Answered,
  // The load balancer responded with an error of its own.
  Rejected,
  // No entry node accepted a connection.
  NotSent,
  // The connection closed or the call timed out before the response was
  // complete.
  Broken,
};

// Result of a call.
struct CallResult {
  Call Planned;
  Clock::time_point Due;
  CallEnd End = CallEnd::NotSent;
  int Status = 0;
  // The body is the complete response to this call.
  bool Matched = false;
  // Values of the headers Magnolia-Run and Magnolia-Error.
  std::string Run;
  std::string Error;
  std::string Version;
  std::size_t Entry = 0;
  // From the time the call was due to the end of the response.
  double LatencyMs = 0;
  // From the time the call was sent to the end of the response, less the time
  // in the backend server.
  double OverheadMs = 0;
  std::int64_t EndWallMs = 0;
};

} // namespace magnolia::bench

#endif
