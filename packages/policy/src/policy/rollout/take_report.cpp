#include "policy/rollout/breaker.h"

#include <algorithm>
#include <utility>

namespace magnolia::policy {

namespace {

using RouteResponses = RolloutBreaker::RouteResponses;

// Returns how urgently the driver needs the responses; 0 is the most urgent.
// Without responses of the new version there is nothing to compare.
int rankOf(const ResponsePair &Report) {
  if (Report.New.Failures > 0) {
    return 0;
  }
  return Report.New.Requests > 0 ? 1 : 2;
}

bool goesFirst(const RouteResponses *Left, const RouteResponses *Right) {
  return std::pair(rankOf(Left->Report), Left->Reported) <
         std::pair(rankOf(Right->Report), Right->Reported);
}

// Returns the rows that the next report contains. The others keep their counts
// for a later one, and those that have waited longest go first.
std::vector<RouteResponses *> rowsToReport(RolloutBreaker &Breaker) {
  std::vector<RouteResponses *> Rows;
  for (RouteResponses &Item : Breaker.Routes) {
    if (Item.Report.New.Requests + Item.Report.Old.Requests > 0) {
      Rows.push_back(&Item);
    }
  }
  if (Rows.size() > StatsReport::MaxRoutes) {
    const auto End =
        Rows.begin() + static_cast<std::ptrdiff_t>(StatsReport::MaxRoutes);
    std::partial_sort(Rows.begin(), End, Rows.end(), goesFirst);
    Rows.erase(End, Rows.end());
  }
  return Rows;
}

} // namespace

StatsReport takeReport(RolloutBreaker &Breaker, const RolloutRecord &Record,
                       NodeId Self, Incarnation Run) {
  StatsReport Report = {.Node = Self,
                        .Run = Run,
                        .RolloutId = Breaker.RolloutId,
                        .Window = Breaker.NextReport++,
                        .Step = Record.Step,
                        .Routes = {}};
  for (RouteResponses *Item : rowsToReport(Breaker)) {
    Report.Routes.push_back({.Route = Item->Route,
                             .New = Item->Report.New,
                             .Old = Item->Report.Old});
    Item->Report = {};
    Item->Reported = Report.Window;
  }
  return Report;
}

} // namespace magnolia::policy
