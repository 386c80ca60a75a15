#include "policy/rollout/rollout_options.h"

#include "policy/rollout/rollout_record.h"

#include <algorithm>

namespace magnolia::policy {

namespace {

// Shortest window that the full schedule fits into.
constexpr Duration ShortWindow = std::chrono::seconds{40};

// Divisors of a short window for the margin after the last write, the allowance
// for that write, the minimum time of a step and the take-over delay.
constexpr int MarginDivisor = 8;
constexpr int AllowanceDivisor = 30;
constexpr int SoakDivisor = 16;
constexpr int TakeoverDivisor = 8;

constexpr double ShortFailureMargin = 0.03;

} // namespace

RolloutOptions optionsFor(const RolloutRecord &Record) {
  RolloutOptions Options;
  const Duration Window = Record.Deadline - Record.Start;
  if (Window >= ShortWindow) {
    return Options;
  }
  Options.Steps = RolloutOptions::ShortSteps;
  Options.FailureMargin = ShortFailureMargin;
  Options.DoneMargin = Window / MarginDivisor;
  Options.WriteAllowance = Window / AllowanceDivisor;
  Options.MinSoak = Window / SoakDivisor;
  Options.MaxSoak = Window / SoakDivisor;
  Options.TakeoverDelay = Window / TakeoverDivisor;
  return Options;
}

} // namespace magnolia::policy
