#include "policy/rollout/compare_versions.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <string>

namespace magnolia::policy {

namespace {

// Failure rate that a version without faults may have on its own, and factor on
// the failure rate of the old version. Differences below these do not count as
// a fault.
constexpr double FailureFloor = 0.01;
constexpr double FailureFactor = 2.0;
constexpr double FloorAlpha = 1e-3;
// Significance level: probability that two equal versions differ as much as
// observed. With no failures of the old version, two failures in two responses
// are significant against 100 of its responses, and three against 32. The level
// is low because every response triggers a comparison.
constexpr double DifferenceAlpha = 2e-4;
// Minimum fraction of slow responses of the new version.
constexpr double SlowShare = 0.5;
constexpr std::uint64_t MinOldResponses = 10;
// Bucket that starts at 1.6 ms. Below that, the scheduler of a busy instance
// alone causes such differences.
constexpr std::size_t FirstSlowFloor = 5;
// With this many responses a doubled latency is distinguishable from chance.
constexpr std::uint64_t ManyResponses = 100;
constexpr double ManyResponsesOctaves = 0.9;

double logChoose(std::uint64_t Total, std::uint64_t Chosen) {
  return std::lgamma(static_cast<double>(Total) + 1) -
         std::lgamma(static_cast<double>(Chosen) + 1) -
         std::lgamma(static_cast<double>(Total - Chosen) + 1);
}

// Returns the probability of at least Hits successes in Trials, each with the
// given probability.
double binomialTail(std::uint64_t Trials, std::uint64_t Hits, double Chance) {
  double Tail = 0.0;
  for (std::uint64_t I = Hits; I <= Trials; ++I) {
    const auto Chosen = static_cast<double>(I);
    const double Term =
        std::exp(logChoose(Trials, I) + Chosen * std::log(Chance) +
                 static_cast<double>(Trials - I) * std::log1p(-Chance));
    Tail += Term;
    // Beyond the mode the terms only decrease.
    if (Term < Tail * 1e-6 && Chosen > static_cast<double>(Trials) * Chance) {
      break;
    }
  }
  return Tail;
}

// Returns the p-value of Fisher's exact test: the probability that at least
// NewHits of all hits fall into the new group if both groups are equally likely
// to be hit.
double differenceTail(std::uint64_t New, std::uint64_t NewHits,
                      std::uint64_t Old, std::uint64_t OldHits) {
  const std::uint64_t Hits = NewHits + OldHits;
  const double All = logChoose(New + Old, Hits);
  double Tail = 0.0;
  for (std::uint64_t I = NewHits; I <= std::min(New, Hits); ++I) {
    if (Hits - I > Old) {
      continue;
    }
    const double Term =
        std::exp(logChoose(New, I) + logChoose(Old, Hits - I) - All);
    Tail += Term;
    if (Term < Tail * 1e-6) {
      break;
    }
  }
  return Tail;
}

std::uint64_t responseCount(const VersionCounts &Counts) {
  return std::accumulate(Counts.Latency.begin(), Counts.Latency.end(),
                         std::uint64_t{0});
}

// Returns the first bucket at or below which this fraction of the responses
// lies.
std::size_t quantileBucket(const VersionCounts &Counts, double Part) {
  const double Wanted = Part * static_cast<double>(responseCount(Counts));
  double Seen = 0.0;
  for (std::size_t I = 0; I < VersionCounts::BucketCount; ++I) {
    Seen += Counts.Latency[I];
    if (Seen >= Wanted) {
      return I;
    }
  }
  return VersionCounts::BucketCount - 1;
}

// Returns the mean bucket, which is the logarithm of the latency in octaves.
double meanOctave(const VersionCounts &Counts) {
  double Sum = 0.0;
  for (std::size_t I = 0; I < VersionCounts::BucketCount; ++I) {
    Sum += static_cast<double>(I) * Counts.Latency[I];
  }
  return Sum / static_cast<double>(responseCount(Counts));
}

} // namespace

bool failsMore(const VersionCounts &New, const VersionCounts &Old) {
  if (New.Failures < 2) {
    return false;
  }
  const auto Rate =
      static_cast<double>(New.Failures) / static_cast<double>(New.Requests);
  const auto OldRate = static_cast<double>(Old.Failures) /
                       std::max(1.0, static_cast<double>(Old.Requests));
  return Rate > std::max(FailureFloor, OldRate * FailureFactor) &&
         binomialTail(New.Requests, New.Failures, FailureFloor) < FloorAlpha &&
         differenceTail(New.Requests, New.Failures, Old.Requests,
                        Old.Failures) < DifferenceAlpha;
}

std::size_t firstSlowBucket(const VersionCounts &Old) {
  // A distance of one bucket, so that responses around a bucket bound do not
  // count.
  return std::clamp(quantileBucket(Old, 0.9) + 2, FirstSlowFloor,
                    VersionCounts::BucketCount - 1);
}

namespace {

// Returns the number of responses in this bucket or above.
std::uint64_t responsesFrom(const VersionCounts &Counts, std::size_t First) {
  return std::accumulate(Counts.Latency.begin() +
                             static_cast<std::ptrdiff_t>(First),
                         Counts.Latency.end(), std::uint64_t{0});
}

bool slows(const VersionCounts &New, const VersionCounts &Old,
           std::uint64_t MinNewResponses) {
  const std::uint64_t NewResponses = responseCount(New);
  const std::uint64_t OldResponses = responseCount(Old);
  if (NewResponses < MinNewResponses || OldResponses < MinOldResponses) {
    return false;
  }
  const std::size_t FirstSlow = firstSlowBucket(Old);
  const std::uint64_t Slow = responsesFrom(New, FirstSlow);
  const auto Part =
      static_cast<double>(Slow) / static_cast<double>(NewResponses);
  if (Part > SlowShare &&
      differenceTail(NewResponses, Slow, OldResponses,
                     responsesFrom(Old, FirstSlow)) < DifferenceAlpha) {
    return true;
  }
  return NewResponses >= ManyResponses && OldResponses >= ManyResponses &&
         quantileBucket(New, 0.5) > quantileBucket(Old, 0.5) &&
         meanOctave(New) - meanOctave(Old) > ManyResponsesOctaves;
}

} // namespace

Comparison compare(const VersionCounts &New, const VersionCounts &Old,
                   std::uint64_t MinNewResponses) {
  if (failsMore(New, Old)) {
    return Comparison::Fails;
  }
  return slows(New, Old, MinNewResponses) ? Comparison::Slows
                                          : Comparison::Similar;
}

Verdict makeVerdict(Comparison Result, std::string_view Route,
                    const VersionCounts &New, const VersionCounts &Old) {
  if (Result == Comparison::Similar) {
    return {};
  }
  std::string Reason = "route ";
  Reason += Route;
  if (Result == Comparison::Fails) {
    Reason += ": new version failed " + std::to_string(New.Failures) + " of " +
              std::to_string(New.Requests) + ", old version " +
              std::to_string(Old.Failures) + " of " +
              std::to_string(Old.Requests);
  } else {
    Reason += ": most of " + std::to_string(New.Requests) +
              " answers of the new version are slower than nearly all " +
              std::to_string(Old.Requests) + " of the old version";
  }
  return {.Kind = VerdictKind::Bad, .Reason = std::move(Reason)};
}

Verdict joinVerdict(const Verdict &Left, const Verdict &Right) {
  return Left.Kind == VerdictKind::Bad ? Left : Right;
}

} // namespace magnolia::policy
