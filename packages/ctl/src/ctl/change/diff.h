#ifndef CTL_CHANGE_DIFF_H
#define CTL_CHANGE_DIFF_H

#include <string>
#include <string_view>
#include <vector>

namespace magnolia::ctl {

// Returns one line for each field that differs between two JSON values of a
// key, such as "retry_ratio: 0.1 -> 0.2". Operation ids are left out. An empty
// value stands for a key that does not exist.
[[nodiscard]] std::vector<std::string> diffFields(std::string_view Before,
                                                  std::string_view After);

} // namespace magnolia::ctl

#endif
