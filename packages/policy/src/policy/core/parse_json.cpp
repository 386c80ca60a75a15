#include "policy/core/parse_json.h"

#include <nlohmann/json.hpp>

namespace magnolia::policy {

namespace {

// Counts the brackets outside of texts. The count of a text that is not valid
// JSON may be wrong; the parser rejects such a text.
bool isTooDeep(std::string_view Text) {
  std::size_t Depth = 0;
  bool InText = false;
  for (std::size_t I = 0; I < Text.size(); ++I) {
    const char Next = Text[I];
    if (InText) {
      I += Next == '\\' ? 1 : 0;
      InText = Next != '"';
    } else if (Next == '"') {
      InText = true;
    } else if (Next == '[' || Next == '{') {
      if (++Depth > MaxJsonDepth) {
        return true;
      }
    } else if ((Next == ']' || Next == '}') && Depth > 0) {
      --Depth;
    }
  }
  return false;
}

} // namespace

nlohmann::json parseJson(std::string_view Text) {
  return isTooDeep(Text) ? nlohmann::json(nlohmann::json::value_t::discarded)
                         : nlohmann::json::parse(Text, nullptr, false);
}

} // namespace magnolia::policy
