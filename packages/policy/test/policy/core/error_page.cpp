#include "policy/core/error_kind.h"

#include <fstream>
#include <gtest/gtest.h>
#include <sstream>
#include <string>

namespace magnolia::policy {
namespace {

// Guards against a page for operators that differs from the error table in
// status, outcome or meaning.
TEST(ErrorPage, ListsEveryKindAsTheTableHasIt) {
  std::ifstream File(MAGNOLIA_SOURCE_DIR "/docs/operators/errors.md");
  std::stringstream Page;
  Page << File.rdbuf();
  for (const ErrorEntry &Entry : errorTable()) {
    std::string Row = "| ";
    Row.append(Entry.Name).append(" | ").append(std::to_string(Entry.Status));
    Row.append(" | ").append(toString(Entry.Run)).append(" | ");
    Row.append(Entry.Meaning).append(" | ");
    EXPECT_NE(Page.str().find(Row), std::string::npos) << Row;
  }
}

} // namespace
} // namespace magnolia::policy
