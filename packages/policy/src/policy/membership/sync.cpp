#include "policy/membership/sync.h"
#include "policy/membership/gossip.h"
#include "policy/membership/internal/select.h"
#include "policy/membership/internal/table.h"

#include <algorithm>
#include <random>

namespace magnolia::policy {

std::uint64_t digest(const MembershipState &State) {
  return State.Table.Digest;
}

std::optional<Member> nextSync(MembershipState &State, TimePoint Now,
                               RandomEngine &Random) {
  if (Now < State.NextSync || State.Table.Live <= 1) {
    return std::nullopt;
  }
  // Exchanges are frequent at first, because a node that starts together with
  // many others misses some of their updates.
  const Duration Period =
      std::max(State.SyncDelay, State.Options.FirstSyncPeriod);
  if (State.Synchronized) {
    State.SyncDelay = std::min(Period * 4, State.Options.SyncPeriod);
  }
  // Jitter of half a period, so that nodes that started together do not all run
  // their exchanges at the same time.
  const Duration Spread{std::uniform_int_distribution<Duration::rep>(
      0, Period.count() / 2)(Random)};
  State.NextSync = Now + Period * 3 / 4 + Spread;
  if (!State.Synchronized) {
    const auto Any = internal::randomLive(State, 1, State.Self, Random);
    return Any.empty() ? std::nullopt
                       : std::optional(*findMember(State, Any.front()));
  }
  const Member *Differing = findMember(State, State.DifferingMember);
  State.DifferingMember = 0;
  if (Differing == nullptr || !isLive(*Differing)) {
    return std::nullopt;
  }
  return *Differing;
}

std::span<const Member> memberPage(const MembershipState &State,
                                   std::size_t Offset, std::size_t PageSize) {
  const std::span<const Member> All = State.Table.Members;
  const std::size_t Start = std::min(Offset, All.size());
  return All.subspan(Start, std::min(PageSize, All.size() - Start));
}

std::size_t mergeMembers(MembershipState &State, std::span<const Member> Page,
                         TimePoint Now) {
  std::size_t Newer = 0;
  for (const Member &Record : Page) {
    Newer +=
        internal::merge(State, Record, internal::Source::Sync, Now) ? 1 : 0;
  }
  // A page with a single record comes from a node that requests a page from
  // this node.
  State.Synchronized = State.Synchronized || Page.size() > 1;
  return Newer;
}

} // namespace magnolia::policy
