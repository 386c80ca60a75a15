#include "policy/move/move_evidence.h"
#include "policy/move/internal/judge_routes.h"
#include "policy/move/internal/ring.h"
#include "policy/move/judge.h"

#include <algorithm>
#include <optional>

namespace magnolia::policy {

namespace {

void beginStep(MoveEvidence &Evidence, const MoveRecord &Record) {
  if (Evidence.MoveId != Record.Id) {
    Evidence = MoveEvidence{};
    Evidence.MoveId = Record.Id;
  }
  if (Evidence.Step != Record.Step) {
    Evidence.Step = Record.Step;
    for (RouteEvidence &Route : Evidence.Routes) {
      Route.New = {};
      Route.Old = {};
    }
  }
}

std::optional<std::size_t> routeIndex(MoveEvidence &Evidence,
                                      std::string_view Route) {
  const auto Found = std::find_if(
      Evidence.Routes.begin(), Evidence.Routes.end(),
      [Route](const RouteEvidence &Item) { return Item.Route == Route; });
  if (Found != Evidence.Routes.end()) {
    return static_cast<std::size_t>(Found - Evidence.Routes.begin());
  }
  if (Evidence.Routes.size() >= MoveEvidence::MaxRoutes) {
    ++Evidence.OverLimit;
    return std::nullopt;
  }
  Evidence.Routes.emplace_back().Route = Route;
  Evidence.Rings.emplace_back();
  return Evidence.Routes.size() - 1;
}

// Returns true for the first report with this sequence number from the entry
// node.
bool isNewReport(MoveEvidence &Evidence, const EvidenceReport &Report) {
  if (Evidence.Reporters.size() >= MoveEvidence::MaxReporters &&
      !Evidence.Reporters.contains(Report.Node)) {
    ++Evidence.OverLimit;
    return false;
  }
  auto &Last = Evidence.Reporters[Report.Node];
  const std::pair Number{Report.Run, Report.Window};
  if (Number <= Last) {
    ++Evidence.Duplicates;
    return false;
  }
  Last = Number;
  return true;
}

// Merges a verdict. Returns true if this turned the merged verdict bad.
bool mergeVerdict(MoveEvidence &Evidence, const Verdict &Added) {
  const bool WasBad = Evidence.Held.Kind == VerdictKind::Bad;
  Evidence.Held = joinVerdict(Evidence.Held, Added);
  return !WasBad && Evidence.Held.Kind == VerdictKind::Bad;
}

void addRoute(MoveEvidence &Evidence, std::size_t Index,
              const RouteEvidence &Added, bool IsCurrentStep, TimePoint Now) {
  ResponseRing::Window *Window =
      internal::windowAt(Evidence.Rings[Index], internal::windowNumber(Now));
  if (Window != nullptr) {
    addCounts(Window->New, Added.New);
    addCounts(Window->Old, Added.Old);
  }
  addCounts(Evidence.OldTotal, Added.Old);
  // Responses of an earlier step tell nothing about the load of this one.
  if (IsCurrentStep) {
    addCounts(Evidence.Routes[Index].New, Added.New);
    addCounts(Evidence.Routes[Index].Old, Added.Old);
  }
}

Verdict evaluate(const MoveEvidence &Evidence, std::size_t Index,
                 TimePoint Now) {
  const RouteEvidence &Step = Evidence.Routes[Index];
  Verdict Result =
      internal::evaluateRoute(Evidence.Rings[Index], Step.Route, Now);
  if (Result.Kind == VerdictKind::None && failsMore(Step.New, Step.Old)) {
    Result = makeVerdict(Comparison::Fails, Step.Route, Step.New, Step.Old);
  }
  return Result;
}

Verdict evaluateCombined(const MoveEvidence &Evidence, TimePoint Now) {
  std::vector<const ResponseRing *> Rings;
  for (const ResponseRing &Ring : Evidence.Rings) {
    Rings.push_back(&Ring);
  }
  return internal::evaluateAllRoutes(Rings, Now);
}

} // namespace

bool addReport(MoveEvidence &Evidence, const MoveRecord &Record,
               const EvidenceReport &Report, TimePoint Now) {
  if (Report.MoveId != Record.Id) {
    return false;
  }
  beginStep(Evidence, Record);
  if (!isNewReport(Evidence, Report)) {
    return false;
  }
  bool BecameBad = false;
  for (const RouteEvidence &Route : Report.Routes) {
    if (const auto Index = routeIndex(Evidence, Route.Route)) {
      addRoute(Evidence, *Index, Route, Report.Step == Record.Step, Now);
      BecameBad |= mergeVerdict(Evidence, evaluate(Evidence, *Index, Now));
    }
  }
  BecameBad |= mergeVerdict(Evidence, evaluateCombined(Evidence, Now));
  return BecameBad;
}

bool addVerdict(MoveEvidence &Evidence, const MoveRecord &Record,
                std::string_view MoveId, const Verdict &Sent) {
  if (MoveId != Record.Id) {
    return false;
  }
  beginStep(Evidence, Record);
  return mergeVerdict(Evidence, Sent);
}

} // namespace magnolia::policy
