#include "ctl/change/diff.h"

#include "policy/core/parse_json.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <map>
#include <utility>

namespace magnolia::ctl {
namespace {

using Json = nlohmann::json;
using Fields = std::map<std::string, std::string>;

constexpr std::size_t MaxLines = 20;
constexpr std::size_t MaxFieldText = 80;

// Returns the path of each field, for example routes/0/prefix, with its value.
Fields fieldsOf(std::string_view Value) {
  Fields Result;
  const Json Document = policy::parseJson(Value);
  if (!Document.is_object()) {
    return Result;
  }
  const Json Flat = Document.flatten();
  for (const auto &[Path, Field] : Flat.items()) {
    if (Path != "/operation_id") {
      Result[Path.substr(1)] =
          Field.dump(-1, ' ', false, Json::error_handler_t::replace)
              .substr(0, MaxFieldText);
    }
  }
  return Result;
}

} // namespace

std::vector<std::string> diffFields(std::string_view Before,
                                    std::string_view After) {
  const Fields Old = fieldsOf(Before);
  const Fields New = fieldsOf(After);
  // Old and new text of each field, "absent" if the field is in one value only.
  std::map<std::string, std::pair<std::string, std::string>> Both;
  for (const auto &[Path, Text] : Old) {
    Both[Path] = {Text, "absent"};
  }
  for (const auto &[Path, Text] : New) {
    Both.try_emplace(Path, "absent", "").first->second.second = Text;
  }
  std::vector<std::string> Lines;
  for (const auto &[Path, Texts] : Both) {
    if (Texts.first == Texts.second) {
      continue;
    }
    if (Lines.size() == MaxLines) {
      Lines.emplace_back("further fields");
      break;
    }
    std::string Line = Path;
    Line.append(": ").append(Texts.first).append(" -> ").append(Texts.second);
    Lines.push_back(std::move(Line));
  }
  return Lines;
}

} // namespace magnolia::ctl
