#include "policy/request_path/model.h"

#include <gtest/gtest.h>

namespace magnolia::policy {
namespace {

// Guards against sequences of crashes, pauses and lost, late, reordered or
// duplicated messages that run a non-idempotent request twice, state a false
// "not run", mix up responses, overload a cold server or exceed the probe
// budget. The counts of the fake backend servers show what ran.
TEST(RequestPath, RandomEvents) {
  std::uint64_t Succeeded = 0;
  std::uint64_t NotRun = 0;
  std::uint64_t Unknown = 0;
  for (std::uint64_t Seed = 1; Seed <= 200; ++Seed) {
    test::Model Model(Seed);
    Model.run();
    for (const std::string &Fault : Model.faults()) {
      ADD_FAILURE() << "seed " << Seed << ": " << Fault;
    }
    ASSERT_FALSE(testing::Test::HasFailure()) << "seed " << Seed;
    Succeeded += Model.succeeded();
    NotRun += Model.notRun();
    Unknown += Model.unknown();
  }
  // The test proves nothing unless each kind of result occurs often enough.
  EXPECT_GT(Succeeded, 10'000U);
  EXPECT_GT(NotRun, 500U);
  EXPECT_GT(Unknown, 100U);
}

} // namespace
} // namespace magnolia::policy
