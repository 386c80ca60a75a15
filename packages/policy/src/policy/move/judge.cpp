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
constexpr double FloorAlpha = 1e-3;
// Chance that two equal versions differ as much as seen. Two failures of two
// pass with 100 answers of the old version without one, three with 32. It is
// low because every answer is followed by a comparison.
constexpr double DifferenceAlpha = 2e-4;
// Part of the new version's answers that have to be slow.
constexpr double SlowShare = 0.5;
constexpr std::uint64_t MinOldAnswers = 10;
// Bucket from 1.6 ms on. Below, the scheduler of a busy instance alone makes
// such differences.
constexpr std::size_t FirstSlowFloor = 5;
// With this many answers a doubled latency is told from chance.
constexpr std::uint64_t ManyAnswers = 100;
constexpr double ManyAnswersOctaves = 0.9;

double logChoose(std::uint64_t Total, std::uint64_t Chosen) {
  return std::lgamma(static_cast<double>(Total) + 1) -
         std::lgamma(static_cast<double>(Chosen) + 1) -
         std::lgamma(static_cast<double>(Total - Chosen) + 1);
}

// Chance of at least Hits among Trials where each has the given chance.
double binomialTail(std::uint64_t Trials, std::uint64_t Hits, double Chance) {
  double Tail = 0.0;
  for (std::uint64_t I = Hits; I <= Trials; ++I) {
    const auto Chosen = static_cast<double>(I);
    const double Term =
        std::exp(logChoose(Trials, I) + Chosen * std::log(Chance) +
                 static_cast<double>(Trials - I) * std::log1p(-Chance));
    Tail += Term;
    // Past the mode the terms only shrink.
    if (Term < Tail * 1e-6 && Chosen > static_cast<double>(Trials) * Chance) {
      break;
    }
  }
  return Tail;
}

// Fisher's exact test: chance of at least NewHits of all hits among the new
// ones if both kinds are equally likely to be hit.
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
  // One bucket of distance, so that answers around a bucket bound don't count.
  return std::clamp(quantileBucket(Old, 0.9) + 2, FirstSlowFloor,
                    VersionCounts::BucketCount - 1);
}

namespace {

// Answers from the bucket on.
std::uint64_t answersFrom(const VersionCounts &Counts, std::size_t First) {
  return std::accumulate(Counts.Latency.begin() +
                             static_cast<std::ptrdiff_t>(First),
                         Counts.Latency.end(), std::uint64_t{0});
}

bool slows(const VersionCounts &New, const VersionCounts &Old,
           std::uint64_t MinNewAnswers) {
  const std::uint64_t NewAnswers = answers(New);
  const std::uint64_t OldAnswers = answers(Old);
  if (NewAnswers < MinNewAnswers || OldAnswers < MinOldAnswers) {
    return false;
  }
  const std::size_t FirstSlow = firstSlowBucket(Old);
  const std::uint64_t Slow = answersFrom(New, FirstSlow);
  const auto Part = static_cast<double>(Slow) / static_cast<double>(NewAnswers);
  if (Part > SlowShare &&
      differenceTail(NewAnswers, Slow, OldAnswers,
                     answersFrom(Old, FirstSlow)) < DifferenceAlpha) {
    return true;
  }
  return NewAnswers >= ManyAnswers && OldAnswers >= ManyAnswers &&
         quantileBucket(New, 0.5) > quantileBucket(Old, 0.5) &&
         meanOctave(New) - meanOctave(Old) > ManyAnswersOctaves;
}

} // namespace

Comparison compare(const VersionCounts &New, const VersionCounts &Old,
                   std::uint64_t MinNewAnswers) {
  if (failsMore(New, Old)) {
    return Comparison::Fails;
  }
  return slows(New, Old, MinNewAnswers) ? Comparison::Slows : Comparison::Alike;
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
