#include "daemon/control/config_codec.h"

#include "policy/config/patch.h"

#include <cstdint>
#include <gtest/gtest.h>
#include <string>
#include <wire/control.pb.h>

namespace magnolia::daemon {
namespace {

// Guards against a patch that the receiver reads differently from the sender,
// with revisions whose upper bits are set.
TEST(ConfigCodec, PatchesSurviveTheWire) {
  const policy::ValuePatch Patch = {
      .Key = "routing/table",
      .BaseRevision = (std::uint64_t{7} << 48) + 1,
      .Revision = (std::uint64_t{8} << 48) + 2,
      .Bytes = 330'000,
      .Digest = ~std::uint64_t{0},
      .Steps = {
          {.FirstLine = 0, .Lines = 1'800, .Text = std::string("a\0b\n\n", 5)},
          {.FirstLine = 1'801, .Lines = 4'000'000'000, .Text = ""}}};
  wire::ValuePatch Read;
  ASSERT_TRUE(Read.ParseFromString(toWire(Patch).SerializeAsString()));
  EXPECT_EQ(fromWire(Read), Patch);
}

// Guards against a patch with more steps than any node sends, which costs the
// receiver memory and time.
TEST(ConfigCodec, RefusesPatchesWithTooManySteps) {
  wire::ValuePatch Sent;
  for (std::size_t I = 0; I < policy::PatchMaxSteps; ++I) {
    Sent.add_steps();
  }
  EXPECT_TRUE(fromWire(Sent));
  Sent.add_steps();
  EXPECT_FALSE(fromWire(Sent));
}

} // namespace
} // namespace magnolia::daemon
