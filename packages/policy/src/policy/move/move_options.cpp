#include "policy/move/move_options.h"

#include "policy/move/move_record.h"

#include <algorithm>

namespace magnolia::policy {

namespace {

// The full schedule fits into windows from here up.
constexpr Duration ShortWindow = std::chrono::seconds{40};

// Parts of a short window: the margin behind the last write, the allowance for
// it, the least time of a step and the wait of the next driver.
constexpr int MarginParts = 8;
constexpr int AllowanceParts = 30;
constexpr int SoakParts = 16;
constexpr int TakeoverParts = 8;

constexpr double ShortFailureMargin = 0.03;

} // namespace

MoveOptions optionsFor(const MoveRecord &Record) {
  MoveOptions Options;
  const Duration Window = Record.Deadline - Record.Start;
  if (Window >= ShortWindow) {
    return Options;
  }
  Options.Steps = MoveOptions::ShortSteps;
  Options.FailureMargin = ShortFailureMargin;
  Options.DoneMargin = Window / MarginParts;
  Options.WriteAllowance = Window / AllowanceParts;
  Options.MinSoak = Window / SoakParts;
  Options.MaxSoak = Window / SoakParts;
  Options.TakeoverDelay = Window / TakeoverParts;
  return Options;
}

} // namespace magnolia::policy
