#include "policy/move/order.h"

#include <algorithm>
#include <map>
#include <string_view>

namespace magnolia::policy {

namespace {

std::string commonVersion(const MoveOrder &Order,
                          std::span<const Member> Fleet) {
  std::map<std::string_view, std::size_t> Counts;
  for (const Member &Record : Fleet) {
    if (isLive(Record) && Record.Service == Order.Service &&
        Record.Version != Order.ToVersion) {
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

std::string moveIdOf(const MoveOrder &Order) {
  return "order-" + std::to_string(Order.Revision);
}

std::optional<MoveRecord> planOrder(const MoveOrder &Order,
                                    const MoveRecord *Last,
                                    std::span<const Member> Fleet,
                                    TimePoint WallNow) {
  MoveRecord Record;
  Record.Id = moveIdOf(Order);
  if (Last != nullptr && Last->Id == Record.Id) {
    return std::nullopt;
  }
  Record.FromVersion = commonVersion(Order, Fleet);
  if (Record.FromVersion.empty()) {
    return std::nullopt;
  }
  Record.Service = Order.Service;
  Record.ToVersion = Order.ToVersion;
  Record.Start = WallNow;
  Record.Deadline = WallNow + Order.Window;
  Record.Revision = Last == nullptr ? 0 : Last->Revision;
  return Record;
}

} // namespace magnolia::policy
