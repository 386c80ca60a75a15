#include "policy/outlier/eject.h"

#include <algorithm>

namespace magnolia::policy {

namespace {

constexpr float FailureWeight = 0.2F;
// Ratio of mean to median of exponentially distributed service times.
constexpr double MeanOverMedian = 1.44;

double ratio(Duration Part, Duration Whole) {
  return static_cast<double>(Part.count()) / static_cast<double>(Whole.count());
}

// Adds jitter of half a back-off, so that entry nodes which ejected a candidate
// at the same time do not send their trial requests at the same time.
Duration withJitter(Duration BackOff, TimePoint Now) {
  constexpr std::uint64_t Multiplier = 0x9E3779B97F4A7C15ULL;
  constexpr int Shift = 54;
  constexpr std::int64_t Steps = 1024;
  const auto Ticks = static_cast<std::uint64_t>(Now.time_since_epoch().count());
  const auto Step = static_cast<std::int64_t>((Ticks * Multiplier) >> Shift);
  return BackOff * 3 / 4 + BackOff * Step / (2 * Steps);
}

} // namespace

bool isSlow(const LatencyStats &Stats, const OutlierOptions &Options) {
  if (Stats.Median.count() <= 0 || Stats.Samples < Options.MinSamples ||
      Stats.Latency < Options.MinSlowLatency) {
    return false;
  }
  const double Measured = ratio(Stats.Latency, Stats.Median);
  const double Reported = ratio(Stats.Reported, Stats.Median);
  return Measured > Options.SlowFactor ||
         (Reported > Options.SlowFactor && Measured > Options.ConfirmFactor);
}

bool isOverdue(const LatencyStats &Stats, const OutlierOptions &Options) {
  if (Stats.ProbeAge > Options.ProbeTimeout) {
    return true;
  }
  if (Stats.Open == 0 || Stats.Median.count() <= 0 ||
      Stats.OpenAges < Options.MinSlowLatency * Stats.Open) {
    return false;
  }
  const double MeanLatencies =
      ratio(Stats.OpenAges, Stats.Median) / MeanOverMedian;
  return MeanLatencies >
         Options.OverdueBase + Options.OverduePerRequest * Stats.Open;
}

bool isFailing(const HealthState &Health, double PeerFailureRate,
               const OutlierOptions &Options) {
  const bool HasFailed = Health.Consecutive >= Options.ConsecutiveFailures ||
                         Health.FailureRate >= Options.FailureRate;
  return HasFailed &&
         Health.FailureRate > Options.FailureFactor * PeerFailureRate;
}

bool isTrialDue(const HealthState &Health, TimePoint Now) {
  return Health.Phase == HealthPhase::Ejected && Now >= Health.NextTrialAt;
}

bool mayEject(std::size_t Candidates, std::size_t Ejected) {
  return Ejected + 1 <= Candidates / 2;
}

void recordResult(HealthState &Health, bool Failed) {
  Health.Consecutive = Failed ? Health.Consecutive + 1 : 0;
  const float Value = Failed ? 1.0F : 0.0F;
  Health.FailureRate += FailureWeight * (Value - Health.FailureRate);
}

void eject(HealthState &Health, const OutlierOptions &Options, TimePoint Now) {
  Health.BackOff = Health.BackOff.count() == 0
                       ? Options.FirstBackOff
                       : std::min(Health.BackOff * 2, Options.MaxBackOff);
  Health.Phase = HealthPhase::Ejected;
  Health.GoodTrials = 0;
  Health.NextTrialAt = Now + withJitter(Health.BackOff, Now);
}

void beginTrial(HealthState &Health) { Health.Phase = HealthPhase::Trial; }

void endTrial(HealthState &Health, bool Good, const OutlierOptions &Options,
              TimePoint Now) {
  if (!Good) {
    eject(Health, Options, Now);
    return;
  }
  if (++Health.GoodTrials >= Options.TrialsToReadmit) {
    readmit(Health);
    return;
  }
  Health.Phase = HealthPhase::Ejected;
  Health.NextTrialAt = Now;
}

void readmit(HealthState &Health) { Health = HealthState{}; }

} // namespace magnolia::policy
