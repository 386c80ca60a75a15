#ifndef POLICY_CORE_FOLDED_LINE_H
#define POLICY_CORE_FOLDED_LINE_H

#include <string_view>

namespace magnolia::policy {

// True if a header line in these lines of an HTTP message begins with a blank.
// It continues the line before for some readers and is a header of its own for
// others.
[[nodiscard]] constexpr bool hasFoldedLine(std::string_view Lines) {
  return Lines.starts_with(' ') || Lines.starts_with('\t') ||
         Lines.find("\n ") != std::string_view::npos ||
         Lines.find("\n\t") != std::string_view::npos;
}

} // namespace magnolia::policy

#endif
