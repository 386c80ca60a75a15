#include "policy/rollout/rollout_stats.h"
#include "policy/rollout/compare_versions.h"
#include "policy/rollout/internal/evaluate_routes.h"
#include "policy/rollout/internal/ring.h"

namespace magnolia::policy {

namespace {

// Returns the responses of the old version in the current step.
VersionCounts oldInStep(const RolloutStats &Stats) {
  VersionCounts Sum;
  for (const RouteStats &Route : Stats.Routes) {
    addCounts(Sum, Route.Old);
  }
  return Sum;
}

// Keeps the responses of a step that ends as the baseline of later ones.
void keepBaseline(RolloutStats &Stats) {
  const VersionCounts Step = oldInStep(Stats);
  if (Step.Requests >= RolloutStats::MinBaselineResponses) {
    Stats.OldBefore = Step;
  } else if (Stats.OldBefore.Requests < RolloutStats::MinBaselineResponses) {
    addCounts(Stats.OldBefore, Step);
  }
}

void beginStep(RolloutStats &Stats, const RolloutRecord &Record) {
  if (Stats.RolloutId != Record.Id) {
    Stats = RolloutStats{};
    Stats.RolloutId = Record.Id;
  }
  if (Stats.Step != Record.Step) {
    keepBaseline(Stats);
    Stats.Step = Record.Step;
    for (RouteStats &Route : Stats.Routes) {
      Route.New = {};
      Route.Old = {};
    }
  }
}

std::size_t routeIndex(RolloutStats &Stats, std::string_view Route) {
  const RouteRow Row = rowOf(Stats.Rows, Route);
  if (Row.Number == Stats.Routes.size()) {
    Stats.Routes.emplace_back().Route = Row.Name;
    Stats.Rings.emplace_back();
  }
  return Row.Number;
}

// Returns true for the first report with this sequence number from the entry
// node.
bool isNewReport(RolloutStats &Stats, const StatsReport &Report) {
  if (Stats.Reporters.size() >= RolloutStats::MaxReporters &&
      !Stats.Reporters.contains(Report.Node)) {
    ++Stats.OverLimit;
    return false;
  }
  auto &Last = Stats.Reporters[Report.Node];
  const std::pair Number{Report.Run, Report.Window};
  if (Number <= Last) {
    ++Stats.Duplicates;
    return false;
  }
  Last = Number;
  return true;
}

// Merges a verdict. Returns true if this turned the merged verdict bad.
bool mergeVerdict(RolloutStats &Stats, const Verdict &Added) {
  const bool WasBad = Stats.Current.Kind == VerdictKind::Bad;
  Stats.Current = joinVerdict(Stats.Current, Added);
  return !WasBad && Stats.Current.Kind == VerdictKind::Bad;
}

void addRoute(RolloutStats &Stats, std::size_t Index, const RouteStats &Added,
              bool IsCurrentStep, TimePoint Now) {
  internal::addToRings(Stats.Rings[Index], Stats.All,
                       internal::windowNumber(Now),
                       {.New = Added.New, .Old = Added.Old});
  // Responses of an earlier step tell nothing about the load of this one.
  if (IsCurrentStep) {
    addCounts(Stats.Routes[Index].New, Added.New);
    addCounts(Stats.Routes[Index].Old, Added.Old);
  }
}

Verdict evaluate(const RolloutStats &Stats, std::size_t Index, TimePoint Now) {
  const RouteStats &Step = Stats.Routes[Index];
  Verdict Result = internal::evaluateRoute(Stats.Rings[Index], Step.Route, Now);
  if (Result.Kind == VerdictKind::None && failsMore(Step.New, Step.Old)) {
    Result = makeVerdict(Comparison::Fails, Step.Route, Step.New, Step.Old);
  }
  return Result;
}

} // namespace

bool addReport(RolloutStats &Stats, const RolloutRecord &Record,
               const StatsReport &Report, TimePoint Now) {
  if (Report.RolloutId != Record.Id) {
    return false;
  }
  beginStep(Stats, Record);
  if (!isNewReport(Stats, Report)) {
    return false;
  }
  bool BecameBad = false;
  for (const RouteStats &Route : Report.Routes) {
    const std::size_t Index = routeIndex(Stats, Route.Route);
    addRoute(Stats, Index, Route, Report.Step == Record.Step, Now);
    BecameBad |= mergeVerdict(Stats, evaluate(Stats, Index, Now));
  }
  BecameBad |= mergeVerdict(Stats, internal::evaluateAllRoutes(Stats.All, Now));
  return BecameBad;
}

VersionCounts oldBaseline(const RolloutStats &Stats) {
  VersionCounts Baseline = oldInStep(Stats);
  if (Baseline.Requests < RolloutStats::MinBaselineResponses) {
    addCounts(Baseline, Stats.OldBefore);
  }
  return Baseline;
}

bool addVerdict(RolloutStats &Stats, const RolloutRecord &Record,
                std::string_view RolloutId, const Verdict &Sent) {
  if (RolloutId != Record.Id) {
    return false;
  }
  beginStep(Stats, Record);
  return mergeVerdict(Stats, Sent);
}

} // namespace magnolia::policy
