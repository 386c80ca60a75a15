#include "daemon/view/route_index.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace magnolia::daemon {
namespace {

using settings::HostRoute;
using Block = RouteIndex::Block;

// A changed block has a copy, so it must be small; each step over all blocks
// has a cost, so they must be few.
constexpr std::size_t MaxBlockRoutes = 128;

// One route that is added to or removed from an index.
struct Step {
  RouteIndex::Route Route;
  bool Removes = false;
};

// Negative if the route is before the host and the prefix, 0 if it has both.
int compareKeys(const HostRoute &Route, std::string_view Host,
                std::string_view Prefix) {
  const int Hosts = Route.Host.compare(Host);
  return Hosts != 0 ? Hosts : Route.Prefix.compare(Prefix);
}

bool targetBefore(const settings::RouteTarget &Left,
                  const settings::RouteTarget &Right) {
  return std::tie(Left.Service, Left.Weight) <
         std::tie(Right.Service, Right.Weight);
}

// Order of an index. It compares all fields, so that routes without an order
// are equal.
bool routeBefore(const HostRoute &Left, const HostRoute &Right) {
  if (const int Keys = compareKeys(Left, Right.Host, Right.Prefix); Keys != 0) {
    return Keys < 0;
  }
  const auto FieldsOf = [](const HostRoute &Route) {
    return std::tie(Route.Name, Route.Idempotent, Route.TimeoutMs,
                    Route.ObjectiveMs, Route.MaxAttempts, Route.Priority,
                    Route.Bulk, Route.Public);
  };
  if (FieldsOf(Left) != FieldsOf(Right)) {
    return FieldsOf(Right) < FieldsOf(Left);
  }
  return std::lexicographical_compare(Right.Targets.begin(),
                                      Right.Targets.end(), Left.Targets.begin(),
                                      Left.Targets.end(), targetBefore);
}

std::vector<Step> sortedSteps(std::span<const RouteIndex::Route> Removed,
                              std::span<const RouteIndex::Route> Added) {
  std::vector<Step> Steps;
  Steps.reserve(Removed.size() + Added.size());
  for (const RouteIndex::Route &Route : Removed) {
    Steps.push_back({.Route = Route, .Removes = true});
  }
  for (const RouteIndex::Route &Route : Added) {
    Steps.push_back({.Route = Route});
  }
  // Stable, so that a route that is in both lists is removed first.
  std::stable_sort(Steps.begin(), Steps.end(),
                   [](const Step &Left, const Step &Right) {
                     return routeBefore(*Left.Route, *Right.Route);
                   });
  return Steps;
}

Block merged(const Block &Old, std::span<Step> Steps) {
  Block Result;
  Result.reserve(Old.size() + Steps.size());
  auto Kept = Old.begin();
  for (Step &Next : Steps) {
    while (Kept != Old.end() && routeBefore(**Kept, *Next.Route)) {
      Result.push_back(*Kept++);
    }
    if (!Next.Removes) {
      Result.push_back(std::move(Next.Route));
    } else if (Kept != Old.end() && !routeBefore(*Next.Route, **Kept)) {
      ++Kept;
    }
  }
  Result.insert(Result.end(), Kept, Old.end());
  return Result;
}

// Appends the routes as blocks of similar size. A small block is joined with
// the one before, so that removals leave no chain of small blocks.
void append(RouteIndex &Index, Block Routes) {
  Index.Size += Routes.size();
  if (!Index.Blocks.empty() &&
      Index.Blocks.back()->size() + Routes.size() <= MaxBlockRoutes) {
    const Block &Before = *Index.Blocks.back();
    Routes.insert(Routes.begin(), Before.begin(), Before.end());
    Index.Blocks.pop_back();
  }
  const std::size_t Count =
      (Routes.size() + MaxBlockRoutes - 1) / MaxBlockRoutes;
  auto Begin = Routes.begin();
  for (std::size_t Part = 1; Part <= Count; ++Part) {
    auto End =
        std::max(Begin, Routes.begin() + static_cast<std::ptrdiff_t>(
                                             Routes.size() * Part / Count));
    // Equal routes lie in one block, so that each of them can be removed.
    while (End != Begin && End != Routes.end() &&
           !routeBefore(**std::prev(End), **End)) {
      ++End;
    }
    if (Begin != End) {
      Index.Blocks.push_back(std::make_shared<const Block>(Begin, End));
      Begin = End;
    }
  }
}

// Returns the last route that is not after the host and the path, or null.
const HostRoute *lastUpTo(const RouteIndex &Routes, std::string_view Host,
                          std::string_view Path) {
  const auto IsUpTo = [&](const RouteIndex::Route &Next) {
    return compareKeys(*Next, Host, Path) <= 0;
  };
  const auto After = std::partition_point(
      Routes.Blocks.begin(), Routes.Blocks.end(),
      [&](const auto &Next) { return IsUpTo(Next->front()); });
  if (After == Routes.Blocks.begin()) {
    return nullptr;
  }
  const Block &Found = **std::prev(After);
  return std::prev(std::partition_point(Found.begin(), Found.end(), IsUpTo))
      ->get();
}

} // namespace

RouteIndex withChanges(const RouteIndex &Last,
                       std::span<const RouteIndex::Route> Removed,
                       std::span<const RouteIndex::Route> Added) {
  std::vector<Step> Steps = sortedSteps(Removed, Added);
  std::span<Step> Remaining = Steps;
  RouteIndex Result;
  Result.Blocks.reserve(Last.Blocks.size() + 1);
  for (std::size_t Place = 0; Place < Last.Blocks.size(); ++Place) {
    const bool IsLast = Place + 1 == Last.Blocks.size();
    const auto End =
        IsLast ? Remaining.end()
               : std::find_if_not(
                     Remaining.begin(), Remaining.end(), [&](const Step &Next) {
                       return routeBefore(*Next.Route,
                                          *Last.Blocks[Place + 1]->front());
                     });
    const auto Count =
        static_cast<std::size_t>(std::distance(Remaining.begin(), End));
    if (Count == 0) {
      Result.Blocks.push_back(Last.Blocks[Place]);
      Result.Size += Last.Blocks[Place]->size();
    } else {
      append(Result, merged(*Last.Blocks[Place], Remaining.first(Count)));
      Remaining = Remaining.subspan(Count);
    }
  }
  if (!Remaining.empty()) {
    append(Result, merged({}, Remaining));
  }
  return Result;
}

const HostRoute *findRoute(const RouteIndex &Routes, std::string_view Host,
                           std::string_view Path) {
  for (;;) {
    const HostRoute *Next = lastUpTo(Routes, Host, Path);
    if (Next == nullptr || Next->Host != Host) {
      return nullptr;
    }
    const std::string_view Prefix = Next->Prefix;
    const auto Common = static_cast<std::size_t>(std::distance(
        Prefix.begin(),
        std::mismatch(Prefix.begin(), Prefix.end(), Path.begin(), Path.end())
            .first));
    if (Common == Prefix.size()) {
      return Next;
    }
    // The prefix is not after the path, so it differs from the path before the
    // end of the path: a matching prefix is at most as long as the common part.
    Path = Path.substr(0, Common);
  }
}

} // namespace magnolia::daemon
