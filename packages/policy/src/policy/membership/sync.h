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

// Members per anti-entropy page; about 90 KB.
inline constexpr std::size_t MemberPageSize = 1'024;

// Returns the hash over node, incarnation and record version of the live
// members. If two digests are equal, an exchange would bring nothing new.
[[nodiscard]] std::uint64_t digest(const MembershipState &State);

// Returns the member to pull pages from if an exchange is due: soon after the
// first member is known, and later once per SyncPeriod if a digest differed.
// Schedules the next exchange, so it returns a value only once per period.
[[nodiscard]] std::optional<Member>
nextSync(MembershipState &State, TimePoint Now, RandomEngine &Random);

// Returns one page of the table for another node, starting at the offset; empty
// beyond the end. The order may change between pages; a later exchange finds a
// member that this one missed.
[[nodiscard]] std::span<const Member>
memberPage(const MembershipState &State, std::size_t Offset,
           std::size_t PageSize = MemberPageSize);

// Merges a page from another node and returns the number of records that were
// newer than those in the table. They are not gossiped, as the other nodes have
// them already or run their own exchange.
std::size_t mergeMembers(MembershipState &State, std::span<const Member> Page,
                         TimePoint Now);

} // namespace magnolia::policy

#endif
