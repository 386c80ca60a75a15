#include "policy/core/folded_line.h"

#include <gtest/gtest.h>

namespace magnolia::policy {
namespace {

// Guards against a header line that begins with a blank and is not noticed at
// some place, and against blanks elsewhere that are taken for one.
TEST(FoldedLine, Table) {
  for (const char *Lines :
       {" A: b\r\n", "\tA: b\r\n", "HTTP/1.1 200 OK\r\n A: b\r\n",
        "A: b\r\n\tc\r\n\r\n", "0\r\nA: b\r\n c: d\r\n"}) {
    EXPECT_TRUE(hasFoldedLine(Lines)) << Lines;
  }
  for (const char *Lines :
       {"", "\r\n", "HTTP/1.1 200 OK\r\nA:  b\t\r\nC: d e\r\n\r\n"}) {
    EXPECT_FALSE(hasFoldedLine(Lines)) << Lines;
  }
}

} // namespace
} // namespace magnolia::policy
