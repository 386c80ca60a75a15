#include "policy/move/judge.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <string>

namespace magnolia::policy {

namespace {

// Failure rate that a version without faults may have by itself, and factor on
// the rate of the old version: differences below are no fault.
constexpr double FailureFloor = 0.01;
constexpr double FailureFactor = 2.0;
// Chance of calling a good version bad in one comparison. Two failures in up
// to four answers, or three in up to ten, are below the first.
constexpr double FailureAlpha = 1e-3;
constexpr double SlowAlpha = 1e-4;
// Part of the old version's answers above its 90th percentile, with allowance
// for its uncertainty.
constexpr double SlowTail = 0.15;
constexpr double SlowShare = 0.5;
constexpr std::uint64_t MinOldAnswers = 10;
constexpr std::uint64_t MinNewAnswers = 5;
// With this many answers a doubled latency is told from chance.
constexpr std::uint64_t ManyAnswers = 100;
constexpr double ManyAnswersOctaves = 0.9;

// Chance of at least Hits among Trials where each has the given chance.
double binomialTail(std::uint64_t Trials, std::uint64_t Hits, double Chance) {
  double Tail = 0.0;
  const auto Count = static_cast<double>(Trials);
  for (std::uint64_t I = Hits; I <= Trials; ++I) {
    const auto Chosen = static_cast<double>(I);
    const double Term = std::lgamma(Count + 1) - std::lgamma(Chosen + 1) -
                        std::lgamma(Count - Chosen + 1) +
                        Chosen * std::log(Chance) +
                        (Count - Chosen) * std::log1p(-Chance);
    const double Probability = std::exp(Term);
    Tail += Probability;
    // Past the mode the terms only shrink.
    if (Probability < Tail * 1e-6 && Chosen > Count * Chance) {
      break;
    }
  }
  return Tail;
}

std::uint64_t answers(const VersionCounts &Counts) {
  return std::accumulate(Counts.Latency.begin(), Counts.Latency.end(),
                         std::uint64_t{0});
}

// First bucket at or below which the part of the answers lies.
std::size_t quantileBucket(const VersionCounts &Counts, double Part) {
  const double Wanted = Part * static_cast<double>(answers(Counts));
  double Seen = 0.0;
  for (std::size_t I = 0; I < VersionCounts::BucketCount; ++I) {
    Seen += Counts.Latency[I];
    if (Seen >= Wanted) {
      return I;
    }
  }
  return VersionCounts::BucketCount - 1;
}

// Mean of the buckets, which is the logarithm of the latency in octaves.
double meanOctave(const VersionCounts &Counts) {
  double Sum = 0.0;
  for (std::size_t I = 0; I < VersionCounts::BucketCount; ++I) {
    Sum += static_cast<double>(I) * Counts.Latency[I];
  }
  return Sum / static_cast<double>(answers(Counts));
}

bool fails(const VersionCounts &New, const VersionCounts &Old) {
  if (New.Failures < 2) {
    return false;
  }
  const double OldRate = (static_cast<double>(Old.Failures) + 0.5) /
                         (static_cast<double>(Old.Requests) + 50.0);
  const double Expected =
      std::clamp(OldRate * FailureFactor, FailureFloor, 0.99);
  const auto Rate =
      static_cast<double>(New.Failures) / static_cast<double>(New.Requests);
  return Rate > Expected &&
         binomialTail(New.Requests, New.Failures, Expected) < FailureAlpha;
}

bool slows(const VersionCounts &New, const VersionCounts &Old) {
  const std::uint64_t NewAnswers = answers(New);
  const std::uint64_t OldAnswers = answers(Old);
  if (NewAnswers < MinNewAnswers || OldAnswers < MinOldAnswers) {
    return false;
  }
  // One bucket of distance, so that answers around a bucket bound don't count.
  const std::size_t FirstSlow = quantileBucket(Old, 0.9) + 2;
  std::uint64_t Slow = 0;
  for (std::size_t I = FirstSlow; I < VersionCounts::BucketCount; ++I) {
    Slow += New.Latency[I];
  }
  const auto Part = static_cast<double>(Slow) / static_cast<double>(NewAnswers);
  if (Part > SlowShare &&
      binomialTail(NewAnswers, Slow, SlowTail) < SlowAlpha) {
    return true;
  }
  return NewAnswers >= ManyAnswers && OldAnswers >= ManyAnswers &&
         quantileBucket(New, 0.5) > quantileBucket(Old, 0.5) &&
         meanOctave(New) - meanOctave(Old) > ManyAnswersOctaves;
}

} // namespace

Comparison compare(const VersionCounts &New, const VersionCounts &Old) {
  if (fails(New, Old)) {
    return Comparison::Fails;
  }
  return slows(New, Old) ? Comparison::Slows : Comparison::Alike;
}

Verdict verdictOf(Comparison Result, std::string_view Route,
                  const VersionCounts &New, const VersionCounts &Old) {
  if (Result == Comparison::Alike) {
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
