#ifndef POLICY_CONFIG_PATCH_STEP_H
#define POLICY_CONFIG_PATCH_STEP_H

#include <cstdint>
#include <string>

namespace magnolia::policy {

// Part of a patch: lines of the base value, then text that the base lacks. The
// text holds whole lines with their line ends.
struct PatchStep {
  std::uint32_t FirstLine = 0;
  // Number of lines to copy; 0 for a step that only adds text.
  std::uint32_t Lines = 0;
  std::string Text;

  bool operator==(const PatchStep &) const = default;
};

} // namespace magnolia::policy

#endif
