#include "policy/admission/internal/ramp.h"

#include <algorithm>

namespace magnolia::policy::internal {

namespace {

constexpr int FastWeight = 8;
constexpr int SlowWeight = 128;
constexpr double Decrease = 0.9;

Duration movingAverage(Duration Average, Duration Value, std::uint32_t Count,
                       int Weight) {
  const auto Divisor = std::min<std::int64_t>(Count, Weight);
  return Average + (Value - Average) / Divisor;
}

bool exceeds(const AdmissionState &State, double Factor) {
  return State.Baseline.count() > 0 &&
         static_cast<double>(State.Latency.count()) >
             Factor * static_cast<double>(State.Baseline.count());
}

void beginStep(AdmissionState &State, TimePoint Now) {
  State.StepWorked = Duration{0};
  State.BusySince = Now;
  State.StepGood = 0;
  State.StepBad = 0;
  State.StepFull = false;
}

void growRamp(AdmissionState &State, bool Failed, TimePoint Now) {
  const std::uint32_t Needed = State.Options.StepResponses * State.Ramp;
  ++(Failed ? State.StepBad : State.StepGood);
  if (State.StepBad > Needed / 4) {
    State.Ramp = std::max(1U, State.Ramp / 2);
    beginStep(State, Now);
    return;
  }
  if (State.StepFull && State.StepGood >= Needed &&
      State.StepWorked >= State.Options.StepTime &&
      !exceeds(State, State.Options.SlowFactor)) {
    ++State.Ramp;
    beginStep(State, Now);
  }
}

void adapt(AdmissionState &State) {
  const double Max = warmLimit(State);
  if (State.Adaptive == 0) {
    State.Adaptive = Max;
  }
  if (++State.AdaptiveResponses < limit(State)) {
    return;
  }
  State.AdaptiveResponses = 0;
  if (State.StepFull && exceeds(State, State.Options.SlowFactor)) {
    State.Adaptive = std::max(Max / 2, State.Adaptive * Decrease);
  } else {
    State.Adaptive = std::min(Max, State.Adaptive + 1);
  }
}

} // namespace

std::uint32_t warmLimit(const AdmissionState &State) {
  const auto Usable = static_cast<std::uint32_t>(
      static_cast<double>(State.Options.Slots) * State.Options.UsableShare);
  return std::max(1U, std::min(Usable, State.Options.Connections));
}

bool isRamping(const AdmissionState &State) {
  return !State.Options.AnnouncesCold && State.Ramp < warmLimit(State);
}

void resetRamp(AdmissionState &State, TimePoint Now) {
  ++State.Resets;
  State.Ramp = 1;
  State.Adaptive = 0;
  State.AdaptiveResponses = 0;
  State.Baseline = Duration{0};
  State.Responses = 0;
  beginStep(State, Now);
}

void countWork(AdmissionState &State, TimePoint Now) {
  if (State.InFlight > 0 && Now > State.BusySince) {
    State.StepWorked += Now - State.BusySince;
  }
  State.BusySince = Now;
}

void learn(AdmissionState &State, const Completion &Ended, TimePoint Now) {
  if (!Ended.Failed) {
    ++State.Responses;
    constexpr std::uint32_t UsualPercent = 100;
    const Duration Own =
        State.WorkTimePercent > UsualPercent
            ? Ended.Latency * UsualPercent / State.WorkTimePercent
            : Ended.Latency;
    State.Latency =
        movingAverage(State.Latency, Own, State.Responses, FastWeight);
    // The baseline must not follow a jump before the jump is noticed.
    const Duration Usual = State.Responses <= State.Options.JumpResponses
                               ? Ended.Latency
                               : std::min(Ended.Latency, 2 * State.Baseline);
    State.Baseline =
        movingAverage(State.Baseline, Usual, State.Responses, SlowWeight);
    if (State.Responses >= State.Options.JumpResponses &&
        State.Latency >= State.Options.MinJump &&
        exceeds(State, State.Options.JumpFactor)) {
      resetRamp(State, Now);
      return;
    }
  }
  if (State.Options.AnnouncesCold) {
    return;
  }
  if (isRamping(State)) {
    growRamp(State, Ended.Failed, Now);
  } else {
    adapt(State);
  }
}

} // namespace magnolia::policy::internal
