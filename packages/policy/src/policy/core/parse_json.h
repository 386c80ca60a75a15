#ifndef POLICY_CORE_PARSE_JSON_H
#define POLICY_CORE_PARSE_JSON_H

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <string_view>

namespace magnolia::policy {

// Maximum number of arrays and objects inside each other in a document from
// outside the process. Copying or formatting a document uses stack for each
// level.
inline constexpr std::size_t MaxJsonDepth = 64;

// Parses a text from outside the process. Returns a discarded value if the text
// is not valid JSON or is nested more deeply than MaxJsonDepth.
[[nodiscard]] nlohmann::json parseJson(std::string_view Text);

} // namespace magnolia::policy

#endif
