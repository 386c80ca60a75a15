#include "daemon/usage/duty_codec.h"

#include <gtest/gtest.h>

namespace magnolia::daemon {
namespace {

TEST(DutyCodec, KeepsEveryField) {
  const policy::DutyRecord Record = {
      .OperationId = "1-2-3",
      .Holder = "10.0.0.1:7620",
      .Node = 1,
      .Token = 17,
      .Epoch = 2,
      .Recorded = 101,
      .Pending = {{.Window = 100, .Counts = {{"a", 1}, {"b\"\n", 2}}},
                  {.Window = 101}}};
  policy::Error LastError;
  EXPECT_EQ(parseDuty(formatDuty(Record), LastError), Record);
}

// Guards against a damaged record that ends the process or is taken for one
// without a holder.
TEST(DutyCodec, RejectsOtherTexts) {
  constexpr const char *NotAnObject =
      R"({"operation":"a","holder":"b","node":1,"token":1,"era":0,)"
      R"("recorded":1,"pending":[{"window":1,"counts":[2]}]})";
  for (const char *Text : {"", "[]", "{}", R"({"operation":1})", NotAnObject}) {
    policy::Error LastError;
    EXPECT_FALSE(parseDuty(Text, LastError)) << Text;
    EXPECT_FALSE(LastError.Detail.empty()) << Text;
  }
}

} // namespace
} // namespace magnolia::daemon
