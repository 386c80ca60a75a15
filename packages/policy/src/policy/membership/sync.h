#ifndef POLICY_MEMBERSHIP_SYNC_H
#define POLICY_MEMBERSHIP_SYNC_H

#include "policy/core/types.h"
#include "policy/membership/member.h"
#include "policy/membership/membership_state.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace magnolia::policy {

// Members of one anti-entropy page; about 90 KB.
inline constexpr std::size_t MemberPageSize = 1'024;

// Hash over node, incarnation and beat of the live members. Equal digests mean
// that an exchange would bring nothing new.
[[nodiscard]] std::uint64_t digest(const MembershipState &State);

// Member to pull pages from, where an exchange is due: soon after the first
// member is known, later once per SyncPeriod if a digest differed. Schedules
// the next exchange, so it returns a value once per period.
[[nodiscard]] std::optional<Member>
nextSync(MembershipState &State, TimePoint Now, RandomEngine &Random);

// One page of the table for another node, from the offset on. Empty past the
// end. The order may change between pages; a member missed by one exchange is
// found by a later one.
[[nodiscard]] std::span<const Member>
memberPage(const MembershipState &State, std::size_t Offset,
           std::size_t PageSize = MemberPageSize);

// Merges a page from another node and returns the number of records that were
// newer than the ones held. They are not gossiped on: the other nodes hold them
// or run their own exchange.
std::size_t mergeMembers(MembershipState &State, std::span<const Member> Page,
                         TimePoint Now);

} // namespace magnolia::policy

#endif
