#ifndef LOOPBACK_CALL_H
#define LOOPBACK_CALL_H

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace magnolia::bench {

using Clock = std::chrono::steady_clock;

// Way of a call from the caller to the backend server.
enum class Leg : std::uint8_t {
  // Entry node and sidecar.
  System,
  // Straight to one backend server.
  Direct,
  // Two relays that only copy bytes, then the same backend server.
  Relays,
  // Straight to all backend servers in turn.
  RoundRobin,
};

// Call as planned.
struct Call {
  Leg Way = Leg::System;
  std::string Service;
  std::string Path;
  std::string Token;
  std::size_t Bytes = 0;
  bool Idempotent = true;
};

// What became of the response to a call.
enum class CallEnd : std::uint8_t {
  // A response came from a backend server.
  Answered,
  // The system itself answered with an error.
  Rejected,
  // No entry node accepted a connection.
  NotSent,
  // The connection ended, or time ran out, without a whole response.
  Broken,
};

// Call as it went.
struct CallResult {
  Call Planned;
  Clock::time_point Due;
  CallEnd End = CallEnd::NotSent;
  int Status = 0;
  // The body is the whole response to this very call.
  bool Matched = false;
  // Header Magnolia-Run, and Magnolia-Error.
  std::string Run;
  std::string Error;
  std::string Version;
  std::size_t Entry = 0;
  // From the time the call was due to the end of the response.
  double LatencyMs = 0;
  // The same from the time it was sent, less the time in the backend server.
  double OverheadMs = 0;
  std::int64_t EndWallMs = 0;
};

} // namespace magnolia::bench

#endif
