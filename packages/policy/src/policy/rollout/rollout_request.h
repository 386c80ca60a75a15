#ifndef POLICY_ROLLOUT_ROLLOUT_REQUEST_H
#define POLICY_ROLLOUT_ROLLOUT_REQUEST_H

#include "policy/core/types.h"
#include "policy/membership/member.h"
#include "policy/rollout/rollout_record.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace magnolia::policy {

// An operator's request to roll a service out to another version within a given
// time.
struct RolloutRequest {
  std::string Service;
  std::string ToVersion;
  Duration Window{};
  // Revision of the request in the store; identifies it among the requests of a
  // service.
  std::uint64_t Revision = 0;
};

// Returns the id of the rollout that carries out the request.
[[nodiscard]] std::string rolloutIdOf(const RolloutRequest &Requested);

// Returns the revision of the request whose rollout has the id, or nothing if
// the rollout carries out no request.
[[nodiscard]] std::optional<std::uint64_t>
requestRevisionOf(std::string_view RolloutId);

// Returns true if the record belongs to the rollout of the request. The
// operator writes a request again, with a new revision, after the store was
// restored from a copy: one with the same content in a later epoch is the same
// request.
[[nodiscard]] bool carriesOut(const RolloutRecord &Record,
                              const RolloutRequest &Requested);

// Returns true if the request may be an earlier one than that of the record:
// the store was restored from a copy that holds the earlier request, and the
// operator has not yet written the later one again.
[[nodiscard]] bool mayBeOutdated(const RolloutRequest &Requested,
                                 const RolloutRecord &Record);

// Returns the first record of the rollout, or nothing if Last is already a
// record of it or no live member serves another version. The other version with
// the most live members is the old one. The window starts at WallNow.
[[nodiscard]] std::optional<RolloutRecord>
planRequest(const RolloutRequest &Requested, const RolloutRecord *Last,
            std::span<const Member> Fleet, TimePoint WallNow);

} // namespace magnolia::policy

#endif
