#include "policy/chain/count_runs.h"

#include <algorithm>

namespace magnolia::policy {

namespace {

using Entry = RouteLossWindow::Entry;
using Part = RouteLossWindow::Part;

constexpr std::uint16_t FirstServerError = 500;
constexpr Duration Length = RouteLossWindow::Bucket * RouteLossWindow::Buckets;

std::uint64_t bucketNumber(TimePoint Now) {
  return static_cast<std::uint64_t>(Now.time_since_epoch() /
                                    RouteLossWindow::Bucket);
}

const Entry *find(const RouteLossWindow &Window, std::string_view Route) {
  const auto Found =
      std::find_if(Window.Routes.begin(), Window.Routes.end(),
                   [Route](const Entry &Next) { return Next.Route == Route; });
  return Found != Window.Routes.end() ? &*Found : nullptr;
}

// Returns the entry of the route. A full window gives up the route whose last
// run is the oldest, or returns null if that run is still counted.
Entry *findOrAdd(RouteLossWindow &Window, std::string_view Route,
                 TimePoint Now) {
  auto &Routes = Window.Routes;
  const auto Found =
      std::find_if(Routes.begin(), Routes.end(),
                   [Route](const Entry &Next) { return Next.Route == Route; });
  if (Found != Routes.end()) {
    return &*Found;
  }
  if (Routes.size() < RouteLossWindow::MaxRoutes) {
    return &Routes.emplace_back(Entry{.Route = std::string(Route)});
  }
  const auto Oldest = std::min_element(
      Routes.begin(), Routes.end(), [](const Entry &Left, const Entry &Right) {
        return Left.Last < Right.Last;
      });
  if (Oldest->Last + Length > Now) {
    return nullptr;
  }
  *Oldest = Entry{.Route = std::string(Route)};
  return &*Oldest;
}

} // namespace

bool isLost(const NestedResult &Ended) {
  if (!Ended.Kind) {
    return Ended.Status >= FirstServerError && Ended.RouteLosses > 0;
  }
  const ErrorEntry &Error = errorEntry(*Ended.Kind);
  return Error.Run == RunOutcome::No &&
         (Error.Retryable || Error.Kind == ErrorKind::DeadlineExceededNotRun);
}

void countRun(RouteLossWindow &Window, std::string_view Route, bool Lost,
              TimePoint Now) {
  if (Route.empty()) {
    return;
  }
  Entry *const Counted = findOrAdd(Window, Route, Now);
  if (!Counted) {
    ++Window.Refused;
    return;
  }
  const std::uint64_t Number = bucketNumber(Now);
  Part &Current = Counted->Parts[Number % RouteLossWindow::Buckets];
  if (Current.Number != Number) {
    Current = {.Number = Number, .Counts = {}};
  }
  ++Current.Counts.Runs;
  Current.Counts.Losses += Lost ? 1 : 0;
  Counted->Last = Now;
}

RouteCounts countsOf(const RouteLossWindow &Window, std::string_view Route,
                     TimePoint Now) {
  RouteCounts Sum;
  const Entry *const Counted = find(Window, Route);
  if (!Counted) {
    return Sum;
  }
  const std::uint64_t Last = bucketNumber(Now);
  for (const Part &Next : Counted->Parts) {
    if (Next.Number + RouteLossWindow::Buckets > Last) {
      Sum.Runs += Next.Counts.Runs;
      Sum.Losses += Next.Counts.Losses;
    }
  }
  return Sum;
}

} // namespace magnolia::policy
