#include "policy/move/move_evidence.h"
#include "policy/move/judge.h"

#include <algorithm>
#include <chrono>

namespace magnolia::policy {

namespace {

// Length of the recent window; judged with the one before it.
constexpr Duration RecentTime = std::chrono::seconds{1};
// Reports of fewer answers of the old version are compared with its whole step.
constexpr std::uint64_t FewOldRequests = 30;

void beginStep(MoveEvidence &Evidence, const MoveRecord &Record) {
  if (Evidence.MoveId != Record.Id) {
    Evidence = MoveEvidence{};
    Evidence.MoveId = Record.Id;
  } else if (Evidence.Step == Record.Step) {
    return;
  }
  Evidence.Step = Record.Step;
  Evidence.Routes.clear();
}

void rollRecent(MoveEvidence &Evidence, TimePoint Now) {
  if (Now - Evidence.RecentSince < RecentTime) {
    return;
  }
  const bool Adjacent = Now - Evidence.RecentSince < 2 * RecentTime;
  Evidence.Previous =
      Adjacent ? std::move(Evidence.Recent) : std::vector<RouteEvidence>{};
  Evidence.Recent.clear();
  Evidence.RecentSince = Now;
}

const RouteEvidence *find(const std::vector<RouteEvidence> &Routes,
                          std::string_view Route) {
  const auto Found = std::find_if(
      Routes.begin(), Routes.end(),
      [Route](const RouteEvidence &Item) { return Item.Route == Route; });
  return Found == Routes.end() ? nullptr : &*Found;
}

bool add(std::vector<RouteEvidence> &Routes, const RouteEvidence &Added) {
  const auto Found = std::find_if(Routes.begin(), Routes.end(),
                                  [&Added](const RouteEvidence &Item) {
                                    return Item.Route == Added.Route;
                                  });
  if (Found != Routes.end()) {
    addCounts(Found->New, Added.New);
    addCounts(Found->Old, Added.Old);
    return true;
  }
  if (Routes.size() >= MoveEvidence::MaxRoutes) {
    return false;
  }
  Routes.push_back(Added);
  return true;
}

// True for the first report with this number from the entry node.
bool isFresh(MoveEvidence &Evidence, const EvidenceReport &Report) {
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

Verdict judgeRecent(const MoveEvidence &Evidence, std::string_view Route) {
  RouteEvidence Sum;
  for (const auto *Windows : {&Evidence.Recent, &Evidence.Previous}) {
    if (const RouteEvidence *Found = find(*Windows, Route)) {
      addCounts(Sum.New, Found->New);
      addCounts(Sum.Old, Found->Old);
    }
  }
  if (Sum.Old.Requests < FewOldRequests) {
    if (const RouteEvidence *Whole = find(Evidence.Routes, Route)) {
      Sum.Old = Whole->Old;
    }
  }
  return verdictOf(compare(Sum.New, Sum.Old), Route, Sum.New, Sum.Old);
}

// Joins a verdict and returns whether it turned the held one bad.
bool join(MoveEvidence &Evidence, const Verdict &Added) {
  const bool WasBad = Evidence.Held.Kind == VerdictKind::Bad;
  Evidence.Held = joinVerdict(Evidence.Held, Added);
  return !WasBad && Evidence.Held.Kind == VerdictKind::Bad;
}

} // namespace

bool addReport(MoveEvidence &Evidence, const MoveRecord &Record,
               const EvidenceReport &Report, TimePoint Now) {
  if (Report.MoveId != Record.Id) {
    return false;
  }
  beginStep(Evidence, Record);
  if (!isFresh(Evidence, Report)) {
    return false;
  }
  rollRecent(Evidence, Now);
  bool BecameBad = false;
  for (const RouteEvidence &Route : Report.Routes) {
    if (!add(Evidence.Recent, Route)) {
      ++Evidence.OverLimit;
      continue;
    }
    // Answers of an earlier step say nothing of the load of this one.
    if (Report.Step == Record.Step && !add(Evidence.Routes, Route)) {
      ++Evidence.OverLimit;
    }
    BecameBad |= join(Evidence, judgeRecent(Evidence, Route.Route));
    if (const RouteEvidence *Whole = find(Evidence.Routes, Route.Route)) {
      BecameBad |=
          join(Evidence, verdictOf(compare(Whole->New, Whole->Old),
                                   Whole->Route, Whole->New, Whole->Old));
    }
  }
  return BecameBad;
}

bool addVerdict(MoveEvidence &Evidence, const MoveRecord &Record,
                std::string_view MoveId, const Verdict &Sent) {
  if (MoveId != Record.Id) {
    return false;
  }
  beginStep(Evidence, Record);
  return join(Evidence, Sent);
}

} // namespace magnolia::policy
