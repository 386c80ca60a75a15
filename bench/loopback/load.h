#ifndef LOOPBACK_LOAD_H
#define LOOPBACK_LOAD_H

#include "call.h"
#include "caller_client.h"

#include <atomic>
#include <cstdint>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace magnolia::bench {

// Open-loop load: calls are due at random times, independent of responses.
struct LoadPlan {
  CallTargets Targets;
  std::vector<std::string> Services;
  double CallsPerSecond = 600;
  int Callers = 64;
  std::uint64_t Seed = 1;
  // Request paths that the calls use in turn.
  std::vector<RequestPath> RequestPaths = {RequestPath::System};
  // Calls to services other than the first one only use the load balancer.
  bool PathsOfFirstOnly = false;
  // Distinguishes the tokens of several loads in one run.
  std::string Name = "load";
};

// Plans one caller's call with this number.
[[nodiscard]] Call planCall(const LoadPlan &Plan, int Caller,
                            std::uint64_t Number, std::mt19937_64 &Engine);

// Callers that each run in their own thread from construction to finish().
class Load {
public:
  explicit Load(LoadPlan Plan);
  ~Load();

  Load(const Load &) = delete;
  Load &operator=(const Load &) = delete;

  // Waits for the calls in flight and returns the results of all calls.
  std::vector<CallResult> finish();

private:
  void call(int Caller);

  LoadPlan Plan;
  std::atomic<bool> Stopping{false};
  std::vector<std::vector<CallResult>> Results;
  std::vector<std::thread> Threads;
};

} // namespace magnolia::bench

#endif
