#include "policy/admission/internal/ramp.h"

#include <algorithm>

namespace magnolia::policy::internal {

namespace {

constexpr int FastWeight = 8;
constexpr int SlowWeight = 128;
constexpr double DecreaseFactor = 0.9;

Duration movingAverage(Duration Average, Duration Value, std::uint32_t Count,
                       int Weight) {
  const auto Divisor = std::min<std::int64_t>(Count, Weight);
  return Average + (Value - Average) / Divisor;
}

bool latencyExceeds(const AdmissionState &State, double Factor) {
  return State.Baseline.count() > 0 &&
         static_cast<double>(State.Latency.count()) >
             Factor * static_cast<double>(State.Baseline.count());
}

void beginStep(AdmissionState &State, TimePoint Now) {
  State.StepBusyTime = Duration{0};
  State.BusySince = Now;
  State.StepSuccesses = 0;
  State.StepFailures = 0;
  State.StepReachedLimit = false;
}

void growRamp(AdmissionState &State, bool Failed, TimePoint Now) {
  const std::uint32_t Needed = State.Options.StepResponses * State.Ramp;
  ++(Failed ? State.StepFailures : State.StepSuccesses);
  if (State.StepFailures > Needed / 4) {
    State.Ramp = std::max(1U, State.Ramp / 2);
    beginStep(State, Now);
    return;
  }
  if (State.StepReachedLimit && State.StepSuccesses >= Needed &&
      State.StepBusyTime >= State.Options.StepTime &&
      !latencyExceeds(State, State.Options.SlowFactor)) {
    ++State.Ramp;
    beginStep(State, Now);
  }
}

void updateAdaptiveLimit(AdmissionState &State) {
  const double Max = warmLimit(State);
  if (State.AdaptiveLimit == 0) {
    State.AdaptiveLimit = Max;
  }
  if (++State.AdaptiveResponses < limit(State)) {
    return;
  }
  State.AdaptiveResponses = 0;
  if (State.StepReachedLimit &&
      latencyExceeds(State, State.Options.SlowFactor)) {
    State.AdaptiveLimit =
        std::max(Max / 2, State.AdaptiveLimit * DecreaseFactor);
  } else {
    State.AdaptiveLimit = std::min(Max, State.AdaptiveLimit + 1);
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
  State.AdaptiveLimit = 0;
  State.AdaptiveResponses = 0;
  State.Baseline = Duration{0};
  State.Responses = 0;
  beginStep(State, Now);
}

void addBusyTime(AdmissionState &State, TimePoint Now) {
  if (State.InFlight > 0 && Now > State.BusySince) {
    State.StepBusyTime += Now - State.BusySince;
  }
  State.BusySince = Now;
}

void recordCompletion(AdmissionState &State, const Completion &Ended,
                      TimePoint Now) {
  if (!Ended.Failed) {
    ++State.Responses;
    constexpr std::uint32_t UsualPercent = 100;
    const Duration Normalised =
        State.WorkTimePercent > UsualPercent
            ? Ended.Latency * UsualPercent / State.WorkTimePercent
            : Ended.Latency;
    State.Latency =
        movingAverage(State.Latency, Normalised, State.Responses, FastWeight);
    // The baseline must not follow a latency jump before the jump is detected.
    const Duration Capped = State.Responses <= State.Options.MinJumpResponses
                                ? Ended.Latency
                                : std::min(Ended.Latency, 2 * State.Baseline);
    State.Baseline =
        movingAverage(State.Baseline, Capped, State.Responses, SlowWeight);
    if (State.Responses >= State.Options.MinJumpResponses &&
        State.Latency >= State.Options.MinJumpLatency &&
        latencyExceeds(State, State.Options.JumpFactor)) {
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
    updateAdaptiveLimit(State);
  }
}

} // namespace magnolia::policy::internal
