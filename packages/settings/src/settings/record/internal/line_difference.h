#ifndef SETTINGS_RECORD_INTERNAL_LINE_DIFFERENCE_H
#define SETTINGS_RECORD_INTERNAL_LINE_DIFFERENCE_H

#include <string_view>
#include <vector>

namespace magnolia::settings::internal {

inline constexpr char LineBreak = '\n';

// Lines that are only in the old or only in the new text, in the order of their
// text and without line breaks. They are parts of the texts.
struct LineDifference {
  std::vector<std::string_view> Removed;
  std::vector<std::string_view> Added;
};

// Compares two texts. The cost beyond one comparison of memory is proportional
// to the number of lines that differ. If the lines of a text are not in byte
// order, a line may be in both lists; the old lines without the removed ones
// and with the added ones are always the new lines.
[[nodiscard]] LineDifference compareLines(std::string_view Old,
                                          std::string_view New);

} // namespace magnolia::settings::internal

#endif
