#include "policy/rollout/rollout_request.h"

#include "policy/core/epoch.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <string_view>

namespace magnolia::policy {

namespace {

constexpr std::string_view RequestIdPrefix = "order-";

std::string commonVersion(const RolloutRequest &Requested,
                          std::span<const Member> Fleet) {
  std::map<std::string_view, std::size_t> Counts;
  for (const Member &Record : Fleet) {
    if (isLive(Record) && Record.Service == Requested.Service &&
        Record.Version != Requested.ToVersion) {
      ++Counts[Record.Version];
    }
  }
  const auto Most = std::max_element(Counts.begin(), Counts.end(),
                                     [](const auto &Left, const auto &Right) {
                                       return Left.second < Right.second;
                                     });
  return Most == Counts.end() ? std::string() : std::string(Most->first);
}

} // namespace

std::string rolloutIdOf(const RolloutRequest &Requested) {
  return std::string(RequestIdPrefix) + std::to_string(Requested.Revision);
}

std::optional<std::uint64_t> requestRevisionOf(std::string_view RolloutId) {
  if (!RolloutId.starts_with(RequestIdPrefix)) {
    return std::nullopt;
  }
  RolloutId.remove_prefix(RequestIdPrefix.size());
  std::uint64_t Revision = 0;
  const char *const End = RolloutId.data() + RolloutId.size();
  const auto Read = std::from_chars(RolloutId.data(), End, Revision);
  return Read.ec == std::errc() && Read.ptr == End ? std::optional(Revision)
                                                   : std::nullopt;
}

bool carriesOut(const RolloutRecord &Record, const RolloutRequest &Requested) {
  if (Record.Id == rolloutIdOf(Requested)) {
    return true;
  }
  const auto First = requestRevisionOf(Record.Id);
  return First && epochOf(*First) < epochOf(Requested.Revision) &&
         Record.ToVersion == Requested.ToVersion &&
         Record.Deadline - Record.Start == Requested.Window;
}

bool mayBeOutdated(const RolloutRequest &Requested,
                   const RolloutRecord &Record) {
  const auto Last = requestRevisionOf(Record.Id);
  return Last && epochOf(*Last) < epochOf(Requested.Revision) &&
         counterOf(Requested.Revision) < counterOf(*Last) &&
         !carriesOut(Record, Requested);
}

std::optional<RolloutRecord> planRequest(const RolloutRequest &Requested,
                                         const RolloutRecord *Last,
                                         std::span<const Member> Fleet,
                                         TimePoint WallNow) {
  if (Last != nullptr && carriesOut(*Last, Requested)) {
    return std::nullopt;
  }
  RolloutRecord Record;
  Record.Id = rolloutIdOf(Requested);
  Record.FromVersion = commonVersion(Requested, Fleet);
  if (Record.FromVersion.empty()) {
    return std::nullopt;
  }
  Record.Service = Requested.Service;
  Record.ToVersion = Requested.ToVersion;
  Record.Start = WallNow;
  Record.Deadline = WallNow + Requested.Window;
  Record.Revision = Last == nullptr ? 0 : Last->Revision;
  return Record;
}

} // namespace magnolia::policy
