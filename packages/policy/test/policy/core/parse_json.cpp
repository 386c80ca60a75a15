#include "policy/core/parse_json.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <string>

namespace magnolia::policy {
namespace {

std::string nested(std::size_t Levels) {
  return std::string(Levels, '[') + std::string(Levels, ']');
}

struct JsonRow {
  const char *Failure;
  std::string Text;
  bool Accepted;
};

TEST(ParseJson, Table) {
  const JsonRow Rows[] = {
      {"a valid object that is refused", R"({"a":[1,{"b":"c"}]})", true},
      {"the deepest accepted document that is refused", nested(MaxJsonDepth),
       true},
      {"a document that is nested too deeply", nested(MaxJsonDepth + 1), false},
      {"a document nested as deeply as the stack is long", nested(100'000),
       false},
      {"an unclosed document nested too deeply", std::string(100'000, '{'),
       false},
      {"brackets of a text that count as levels",
       "\"" + std::string(200, '[') + "\"", true},
      {"a quote in a text that ends it", R"(["\"[[[[", 1])", true},
      {"a backslash at the end of a text that hides its end",
       "[\"\\\\\"," + nested(100) + "]", false},
      {"many short lists that count as levels",
       "[" + std::string(300, ' ') + "[],[],[],[],[]]", true},
      {"a number too large that ends the process", "[1e999]", false},
      {"a text that is not UTF-8", "\"\xff\"", false},
      {"no bytes", "", false},
  };
  for (const JsonRow &Row : Rows) {
    EXPECT_EQ(!parseJson(Row.Text).is_discarded(), Row.Accepted) << Row.Failure;
  }
}

} // namespace
} // namespace magnolia::policy
