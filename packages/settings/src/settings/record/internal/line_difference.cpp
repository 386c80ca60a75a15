#include "settings/record/internal/line_difference.h"

#include <algorithm>
#include <cstddef>
#include <cstring>

namespace magnolia::settings::internal {
namespace {

// Large enough for memcmp to run at its full speed, small enough for the search
// by single characters in the first block that differs.
constexpr std::size_t BlockBytes = 512;

std::size_t commonSize(std::string_view Left, std::string_view Right) {
  const std::size_t Limit = std::min(Left.size(), Right.size());
  std::size_t Size = 0;
  while (Size + BlockBytes <= Limit &&
         std::memcmp(Left.data() + Size, Right.data() + Size, BlockBytes) ==
             0) {
    Size += BlockBytes;
  }
  while (Size < Limit && Left[Size] == Right[Size]) {
    ++Size;
  }
  return Size;
}

// Returns the size of the complete lines with which both texts begin.
std::size_t commonLines(std::string_view Left, std::string_view Right) {
  const std::size_t Break =
      Left.substr(0, commonSize(Left, Right)).rfind(LineBreak);
  return Break == std::string_view::npos ? 0 : Break + 1;
}

std::string_view firstLine(std::string_view Text) {
  return Text.substr(0, Text.find(LineBreak));
}

void dropLine(std::string_view &Text) {
  const std::size_t Break = Text.find(LineBreak);
  Text = Break == std::string_view::npos ? std::string_view()
                                         : Text.substr(Break + 1);
}

} // namespace

LineDifference compareLines(std::string_view Old, std::string_view New) {
  LineDifference Result;
  while (!Old.empty() || !New.empty()) {
    const std::size_t Common = commonLines(Old, New);
    Old.remove_prefix(Common);
    New.remove_prefix(Common);
    if (Old.empty() && New.empty()) {
      break;
    }
    const std::string_view OldLine = firstLine(Old);
    const std::string_view NewLine = firstLine(New);
    if (!Old.empty() && !New.empty() && OldLine == NewLine) {
      dropLine(Old);
      dropLine(New);
    } else if (New.empty() || (!Old.empty() && OldLine < NewLine)) {
      Result.Removed.push_back(OldLine);
      dropLine(Old);
    } else {
      Result.Added.push_back(NewLine);
      dropLine(New);
    }
  }
  return Result;
}

} // namespace magnolia::settings::internal
