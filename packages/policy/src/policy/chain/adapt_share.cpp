#include "policy/chain/adapt_share.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace magnolia::policy {

namespace {

using Seconds = std::chrono::duration<double>;

// Returns the part of an average over the given time that remains.
double remaining(Duration Passed, Duration Time) {
  return std::exp(-std::max(Seconds(Passed) / Seconds(Time), 0.0));
}

// Times over which requests are averaged.
constexpr Duration RateTime = std::chrono::seconds(1);
constexpr Duration SlowRateTime = std::chrono::seconds(4);

// Time without a request after which the share of a route is outdated.
constexpr Duration ForgottenAfter = std::chrono::seconds(3);

// State of the routes that lose calls or are shed, seen from one of them.
struct Ranks {
  // Share that all of them get.
  double Share = 1;
  // Requests per second that the counts cover, and those that succeed.
  double Admitted = 0;
  double Goodput = 0;
  bool HigherLoses = false;
  // Smallest admitted share of the higher ranks whose shedding helps.
  double HigherShare = 1;
  // True if a lower rank that loses calls has more than its minimum.
  bool LowerCanGive = false;
};

double floorOf(const RouteAdmissionOptions &Options, double SharedBy) {
  return std::max(Options.MinShare, Options.RankFloor * SharedBy);
}

double targetOf(const RouteAdmissionOptions &Options,
                const AdmittedRoute &Route) {
  return std::max(Options.TargetLoss, Route.ToleratedLoss);
}

Ranks ranksAround(const RouteAdmissionState &State, const AdmittedRoute &Own,
                  TimePoint Now) {
  struct Other {
    const AdmittedRoute *Route;
    bool Loses;
    double Share;
  };
  std::vector<Other> Others;
  double Requests = 0;
  double ShareSum = 0;
  Ranks Result;
  for (const auto &[Name, Next] : State.Routes) {
    const RouteEvidence Known = evidenceOf(Next, State.Options, Now);
    const bool Loses =
        Known.Trust > 0 && Known.loss() > targetOf(State.Options, Next);
    if (Loses || (Known.Trust > 0 && Next.Share < 1)) {
      const double Rate =
          Next.SlowRate * remaining(Now - Next.LastRequest, SlowRateTime);
      Requests += Rate;
      ShareSum += Rate * Next.Share;
      Result.Admitted += Rate * Next.LaggedShare;
      Result.Goodput += Rate * Next.LaggedShare * (1 - Next.AverageLoss);
      Others.push_back(
          {.Route = &Next, .Loses = Loses, .Share = trustedShare(Next, Known)});
    }
  }
  Result.Share = Requests > 0 ? ShareSum / Requests : 1;
  constexpr double Margin = 1.01;
  for (const Other &Next : Others) {
    const bool IsHigher = Next.Route->Priority < Own.Priority;
    if (IsHigher) {
      Result.HigherLoses |= Next.Loses;
      if (Next.Route->ToleratedLoss == 0) {
        Result.HigherShare = std::min(Result.HigherShare, Next.Share);
      }
    } else if (Next.Route->Priority > Own.Priority) {
      Result.LowerCanGive |=
          Next.Loses &&
          Next.Route->Share > Margin * floorOf(State.Options, Result.Share);
    }
  }
  return Result;
}

// The share that the losses belong to is the lagged one: the reports do not
// reflect the newest changes yet, and to apply the same losses to each change
// in turn would admit less and less.
void decrease(const RouteAdmissionOptions &Options, AdmittedRoute &Route,
              const Ranks &Around, double Excess) {
  const double Gain =
      Around.HigherLoses ? Options.DecreaseOfLowerRank : Options.Decrease;
  const double Next = Route.LaggedShare * (1 - Gain * Excess);
  Route.Share =
      std::max(std::min(Route.Share, Next), floorOf(Options, Around.Share));
}

void increase(const RouteAdmissionOptions &Options, AdmittedRoute &Route,
              const Ranks &Around, TimePoint Now) {
  const double WithoutLosses = Seconds(Now - Route.LastLosses).count();
  double Growth =
      std::min(Options.Increase * (1 + WithoutLosses), Options.MaxIncrease);
  if (Around.HigherShare < 1) {
    Growth *= Options.IncreaseOfLowerRank;
  }
  Route.Share =
      std::min(1.0, std::max(Route.Share, Route.LaggedShare + Growth));
}

// Time after the first losses until the average covers none from before.
constexpr Duration EpisodeStart = std::chrono::seconds(4);
// Time for which a test must fail, because a few losses vary by chance.
constexpr Duration UselessTime = std::chrono::seconds(1);
// Times over which losses are averaged, and after which they are no longer
// tolerated.
constexpr Duration LossTime = std::chrono::milliseconds(1500);
constexpr Duration ToleranceTime = std::chrono::seconds(30);
// Tolerated losses, as a multiple of the average ones, and the part of them
// below which the cause is gone.
constexpr double Tolerance = 1.3;
constexpr double MaxTolerated = 0.95;
constexpr double GoneBelow = 0.5;

void updateLosses(AdmittedRoute &Route, const RouteEvidence &Known,
                  Duration Passed) {
  if (Known.Trust > 0) {
    Route.AverageLoss +=
        (Known.loss() - Route.AverageLoss) * (1 - remaining(Passed, LossTime));
  }
  Route.ToleratedLoss *= remaining(Passed, ToleranceTime);
  if (Route.AverageLoss < GoneBelow * Route.ToleratedLoss) {
    Route.ToleratedLoss = 0;
  }
}

// Returns true if shedding since the start of the episode has not raised the
// part of the admitted requests that succeeds. If the losses come from load,
// that part rises as the admitted requests fall.
bool isUseless(const RouteAdmissionOptions &Options, ShedEpisode &Episode,
               const Ranks &Around, TimePoint Now) {
  if (Episode.Began == TimePoint{}) {
    Episode.Began = Episode.UselessSince = Now;
  } else if (Episode.Admitted == 0 && Now - Episode.Began >= EpisodeStart) {
    Episode.Admitted = Around.Admitted;
    Episode.Success = Around.Goodput / Around.Admitted;
  }
  const double Expected =
      std::min(1.0, Episode.Success * Episode.Admitted / Around.Admitted);
  const bool IsTested =
      Around.Admitted < Options.TestedShare * Episode.Admitted;
  if (!IsTested ||
      Around.Goodput / Around.Admitted >= (Episode.Success + Expected) / 2) {
    Episode.UselessSince = Now;
  }
  return Now - Episode.UselessSince >= UselessTime;
}

} // namespace

void adaptShare(RouteAdmissionState &State, AdmittedRoute &Route,
                TimePoint Now) {
  const RouteAdmissionOptions &Options = State.Options;
  const Duration Passed = Now - Route.Stepped;
  if (Passed < Options.Step) {
    return;
  }
  Route.Stepped = Now;
  Route.LaggedShare +=
      (Route.Share - Route.LaggedShare) * (1 - remaining(Passed, Options.Lag));
  if (Passed > ForgottenAfter) {
    Route.Share = Route.LaggedShare = Route.HigherShare = 1;
    Route.Episode = {};
    Route.AverageLoss = Route.ToleratedLoss = 0;
    return;
  }
  const RouteEvidence Known = evidenceOf(Route, Options, Now);
  // Without evidence the share recovers as without losses: a route with few
  // requests would otherwise start again at each pause between its reports.
  updateLosses(Route, Known, Passed);
  const double Excess =
      Known.Trust > 0 ? Known.loss() - targetOf(Options, Route) : 0;
  const bool Lost = Excess > 0 || Now - Route.LastLosses < ForgottenAfter;
  Route.HigherShare = 1;
  if (!Lost) {
    Route.Episode = {};
  }
  if (!Lost && Route.Share >= 1) {
    return;
  }
  const Ranks Around = ranksAround(State, Route, Now);
  if (Lost) {
    // A route with few requests has few reports of its own.
    Route.HigherShare =
        std::max(Around.HigherShare, floorOf(Options, Around.Share));
  }
  if (Route.AverageLoss <= targetOf(Options, Route)) {
    Route.Episode = {};
  }
  if (Excess <= 0) {
    increase(Options, Route, Around, Now);
    return;
  }
  if (isUseless(Options, Route.Episode, Around, Now)) {
    Route.ToleratedLoss = std::min(Tolerance * Route.AverageLoss, MaxTolerated);
    Route.Episode = {};
  }
  Route.LastLosses = Now;
  if (!Around.LowerCanGive) {
    decrease(Options, Route, Around, Excess);
  }
}

double trustedShare(const AdmittedRoute &Route, const RouteEvidence &Known) {
  return 1 - (1 - Route.Share) * Known.Trust;
}

void countRequest(AdmittedRoute &Route, TimePoint Now) {
  const Duration Passed = Now - Route.LastRequest;
  Route.Rate =
      Route.Rate * remaining(Passed, RateTime) + 1 / Seconds(RateTime).count();
  Route.SlowRate = Route.SlowRate * remaining(Passed, SlowRateTime) +
                   1 / Seconds(SlowRateTime).count();
  Route.LastRequest = Now;
}

} // namespace magnolia::policy
