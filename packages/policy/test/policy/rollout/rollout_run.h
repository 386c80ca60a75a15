#ifndef POLICY_TEST_MOVE_MOVE_RUN_H
#define POLICY_TEST_MOVE_MOVE_RUN_H

#include "policy/membership/member.h"
#include "policy/rollout/advance.h"
#include "policy/rollout/breaker.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace magnolia::policy::test {

// Behaviour of the new version, and of both versions where stated.
enum class NewVersion : std::uint8_t {
  Good,
  // Bursts of noise slow down both versions alike and make some of their
  // responses fail.
  GoodUnderNoise,
  Fails,
  FailsOnOneRoute,
  // The route is added some seconds after the start, when all others have been
  // in use, and gets a third of the requests.
  FailsOnAddedRoute,
  FailsHalf,
  Slows,
  FailsLate,
  SlowsLate,
  FailsUnderLoad,
  SlowsUnderLoad,
};

struct RolloutRunOptions {
  std::uint64_t Seed = 1;
  NewVersion Behaviour = NewVersion::Good;
  Duration Length = std::chrono::seconds{120};
  std::size_t EntryNodes = 4;
  // Number of routes, without one that is added.
  std::size_t Routes = 3;
  // Requests per second of each entry node.
  double Rate = 50.0;
  double Loss = 0.05;
  bool StoreFaults = false;
  bool Operator = false;
  // Pauses and restarts of drivers.
  bool DriverFaults = false;
};

// Store with compare-and-swap on one key. The response to a write may be lost
// after the write took effect.
struct FakeStore {
  RolloutRecord Record;
  bool Down = false;
  bool LosesResponses = false;
  // Number of final records written; more than one is a fault.
  std::size_t Ends = 0;
  std::optional<TimePoint> EndedAt;
};

// Simulation of entry nodes with traffic, drivers and a store in virtual time.
struct RolloutRun {
  struct EntryNode {
    RolloutBreaker Breaker;
    RolloutRecord Record;
  };

  struct Driver {
    RolloutStats Stats;
    RolloutRecord Record;
    TimePoint PausedUntil;
    TimePoint DueAt;
    std::uint64_t DueRevision = 0;
    TimePoint NextPoll;
  };

  struct Traffic {
    std::uint64_t Old = 0;
    std::uint64_t New = 0;
  };

  RolloutRunOptions Options;
  RandomEngine Random;
  TimePoint Start{std::chrono::hours{1}};
  TimePoint Now{std::chrono::hours{1}};
  FakeStore Store;
  std::vector<EntryNode> Entries;
  std::vector<Member> Watchers;
  std::vector<Driver> Drivers;
  std::multimap<TimePoint, std::function<void(RolloutRun &)>> Events;
  // Time at which callers saw the first faulty response.
  std::optional<TimePoint> FaultSeenAt;
  Traffic Total;
  // Requests up to the first share above 5%.
  Traffic Early;
  std::uint64_t NewAfterFault = 0;
  std::uint64_t NewAfterDeadline = 0;
  std::uint64_t Reverts = 0;
};

// Runs the rollout to its end and for some seconds beyond.
[[nodiscard]] RolloutRun runRollout(const RolloutRunOptions &Options);

} // namespace magnolia::policy::test

#endif
