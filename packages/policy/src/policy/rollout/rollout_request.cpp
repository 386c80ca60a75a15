#include "policy/rollout/rollout_request.h"

#include <algorithm>
#include <map>
#include <string_view>

namespace magnolia::policy {

namespace {

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
  return "order-" + std::to_string(Requested.Revision);
}

std::optional<RolloutRecord> planRequest(const RolloutRequest &Requested,
                                         const RolloutRecord *Last,
                                         std::span<const Member> Fleet,
                                         TimePoint WallNow) {
  RolloutRecord Record;
  Record.Id = rolloutIdOf(Requested);
  if (Last != nullptr && Last->Id == Record.Id) {
    return std::nullopt;
  }
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
