#include "policy/usage/true_time.h"

#include <algorithm>
#include <chrono>
#include <vector>

namespace magnolia::policy {

namespace {

constexpr std::size_t MaxClocks = 65'536;
// Enough samples for short windows, whose messages come often.
constexpr Duration MinSampleAge = std::chrono::seconds(10);

// Returns the age at which a sample counts as outdated. Two messages may be
// lost before, and the next one may be late by an interval.
Duration maxSampleAge(const UsageOptions &Options) {
  constexpr int Intervals = 4;
  return std::max(MinSampleAge, Intervals * sendInterval(Options));
}

} // namespace

void addClock(ClockSamples &State, NodeId Node, TimePoint Wall, TimePoint Now) {
  if (State.Samples.size() >= MaxClocks && !State.Samples.contains(Node)) {
    return;
  }
  State.Samples[Node] = {.Offset = Wall - Now, .TakenAt = Now};
}

std::optional<TimePoint> trueTime(ClockSamples &State, std::size_t LiveMembers,
                                  TimePoint Now, const UsageOptions &Options) {
  const TimePoint Oldest = Now - maxSampleAge(Options);
  std::erase_if(State.Samples, [Oldest](const auto &Next) {
    return Next.second.TakenAt < Oldest;
  });
  if (State.Samples.empty() || 2 * State.Samples.size() < LiveMembers) {
    return std::nullopt;
  }
  std::vector<Duration> Offsets;
  Offsets.reserve(State.Samples.size());
  for (const auto &[Node, Sample] : State.Samples) {
    Offsets.push_back(Sample.Offset);
  }
  const auto Middle =
      Offsets.begin() + static_cast<std::ptrdiff_t>((Offsets.size() - 1) / 2);
  std::nth_element(Offsets.begin(), Middle, Offsets.end());
  return Now + *Middle;
}

} // namespace magnolia::policy
