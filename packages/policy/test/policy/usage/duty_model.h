#ifndef POLICY_TEST_USAGE_DUTY_MODEL_H
#define POLICY_TEST_USAGE_DUTY_MODEL_H

#include "policy/usage/hold_duty.h"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace magnolia::policy::test {

struct DutyModelOptions {
  std::uint64_t Seed = 1;
  bool Faults = true;
  Duration Length = std::chrono::seconds(150);
  // Time without faults at the end.
  Duration Calm = std::chrono::seconds(60);
  UsageOptions Times = {};
};

// Report as it arrives at the receiver.
struct Arrival {
  TimePoint At{};
  std::string Holder;
  std::uint64_t Token = 0;
  WindowCounts Report;
};

// Three nodes that may hold the duty, a store that is restored from copies, and
// a receiver, on a virtual clock. Nodes are suspended and killed, their clocks
// run at different rates, and answers are lost or late.
class DutyModel {
public:
  explicit DutyModel(const DutyModelOptions &Options);
  void run();

  // The first broken rule, or an empty text.
  [[nodiscard]] std::string broken() const;
  [[nodiscard]] const std::vector<Arrival> &arrivals() const {
    return Arrivals;
  }
  [[nodiscard]] TimePoint now() const { return Now; }
  [[nodiscard]] std::uint64_t holders() const { return Gained; }
  [[nodiscard]] std::uint64_t writes() const { return Writes; }

private:
  struct Node {
    NodeId Id = 0;
    std::string Name;
    Incarnation Run = 0;
    DutyState State;
    UsageTotals Totals;
    double Rate = 1;
    Duration ClockError{};
    TimePoint SuspendedUntil{};
    // Tasks whose results arrive for a former incarnation are dropped.
    std::uint64_t NewestEpoch = 0;
    std::uint64_t GainedBefore = 0;
  };
  struct Store {
    std::uint64_t Epoch = 0;
    std::uint64_t Counter = 10;
    // Counter of the record's last write; 0 for no record.
    std::uint64_t RecordCounter = 0;
    DutyRecord Record;
  };
  struct Event {
    std::function<void()> Happen;
  };

  [[nodiscard]] bool chance(double Probability);
  [[nodiscard]] Duration upTo(Duration Most);
  [[nodiscard]] bool calm() const;
  [[nodiscard]] TimePoint bootOf(const Node &Of) const;
  void at(TimePoint Time, std::function<void()> Happen);
  // Calls the function on the node when it runs, unless it was restarted.
  void tell(std::size_t Index, TimePoint Time,
            std::function<void(Node &)> Happen);
  void tick(Node &Of, std::size_t Index);
  void breakThings();
  void exchangeFacts();
  void act(std::size_t Index, const DutyAction &Action);
  void read(std::size_t Index);
  void write(std::size_t Index, const DutyAction &Action);
  // Applies a write at the store. Returns its revision, or nothing.
  std::optional<std::uint64_t> apply(const DutyAction &Action);
  void send(std::size_t Index, const DutyAction &Action);

  DutyModelOptions Options;
  RandomEngine Random;
  TimePoint Now{std::chrono::hours(1000)};
  const TimePoint Start = Now;
  std::array<Node, 3> Nodes;
  Store Stored;
  std::vector<Store> Copies;
  TimePoint StoreDownUntil{};
  TimePoint ReceiverDownUntil{};
  std::multimap<TimePoint, std::function<void()>> Events;
  std::vector<Arrival> Arrivals;
  std::uint64_t Gained = 0;
  std::uint64_t Writes = 0;
};

} // namespace magnolia::policy::test

#endif
