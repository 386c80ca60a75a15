#ifndef POLICY_TEST_CONFIG_SPREAD_MODEL_H
#define POLICY_TEST_CONFIG_SPREAD_MODEL_H

#include "policy/config/config_table.h"
#include "policy/config/fetch_state.h"
#include "policy/config/send_pace.h"
#include "policy/core/types.h"
#include "policy/fleet/repair_state.h"
#include "policy/membership/member.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace magnolia::policy::test {

// How nodes transfer large values.
enum class Transfer {
  // Pushes and exchanges hold whole values.
  Whole,
  // Pushes hold patches or notices, and nodes fetch what they lack.
  Fetched,
};

struct ModelNode {
  ConfigTable Table;
  FetchState Fetches;
  SendPace Pace;
  RepairState Repair;
  // The link is busy until then, in each direction.
  TimePoint UpFree;
  TimePoint DownFree;
  TimePoint ProcessorFree;
  double LinkBytesPerSecond = 1'250'000;
  // Factor on the processor time.
  double Slowness = 1;
  double BytesReceived = 0;
  bool Stopped = false;
};

// Nodes that spread one key, in virtual time: links that carry one message
// after the other, calls with a deadline, and processors that take time for
// each byte. The nodes decide with the functions of policy/config as a daemon
// does.
struct SpreadModel {
  Transfer Way = Transfer::Fetched;
  RandomEngine Random;
  std::vector<Member> Fleet;
  std::vector<ModelNode> Nodes;
  std::multimap<TimePoint, std::function<void()>> Events;
  TimePoint Now{std::chrono::seconds(100)};
};

inline constexpr const char *ModelKey = "routing/table";

// Nodes in zones of the same size. All hold the entry.
[[nodiscard]] SpreadModel makeModel(Transfer Way, std::size_t Zones,
                                    std::size_t PerZone,
                                    const ConfigEntry &Held,
                                    std::uint64_t Seed);

// Starts the gossip and the ticks of all nodes. The model must not be moved
// afterwards.
void startTimers(SpreadModel &Model);

// The watchers of all zones read the entry from the store.
void readByWatchers(SpreadModel &Model, const ConfigEntry &Entry);

// Runs until all nodes that are not stopped hold the revision, or until the
// limit. Returns the time taken.
Duration runUntilAllHold(SpreadModel &Model, std::uint64_t Revision,
                         Duration Limit);

void runFor(SpreadModel &Model, Duration Time);

// Returns the number of nodes that are not stopped and hold a lower revision.
[[nodiscard]] std::size_t behind(const SpreadModel &Model,
                                 std::uint64_t Revision);

} // namespace magnolia::policy::test

#endif
