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

// Open-loop load: calls are due at random times that don't depend on answers.
struct LoadPlan {
  CallTargets Targets;
  std::vector<std::string> Services;
  double CallsPerSecond = 600;
  int Callers = 64;
  std::uint64_t Seed = 1;
  // Legs of the calls, in turn.
  std::vector<Leg> Legs = {Leg::System};
  // Calls to other services than the first one use the system only.
  bool LegsOfFirstOnly = false;
  // Distinguishes the tokens of several loads in one run.
  std::string Name = "load";
};

// Call with this number of one caller.
[[nodiscard]] Call planCall(const LoadPlan &Plan, int Caller,
                            std::uint64_t Number, std::mt19937_64 &Engine);

// Callers on threads of their own, from construction to finish().
class Load {
public:
  explicit Load(LoadPlan Plan);
  ~Load();

  Load(const Load &) = delete;
  Load &operator=(const Load &) = delete;

  // Lets the open calls end and returns what became of all.
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
