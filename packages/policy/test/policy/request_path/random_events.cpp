#include "policy/request_path/model.h"

#include <gtest/gtest.h>

namespace magnolia::policy {
namespace {

// Guards against any sequence of crashes, pauses, lost, late, reordered and
// repeated messages that runs a non-idempotent request twice, states a false
// "not run", mixes up responses, overloads a cold server or exceeds the probe
// budget. The record of the fake backend servers decides.
TEST(RequestPath, RandomEvents) {
  std::uint64_t Runs = 0;
  std::uint64_t NotRun = 0;
  std::uint64_t Unknown = 0;
  for (std::uint64_t Seed = 1; Seed <= 200; ++Seed) {
    test::Model Model(Seed);
    Model.run();
    for (const std::string &Fault : Model.faults()) {
      ADD_FAILURE() << "seed " << Seed << ": " << Fault;
    }
    ASSERT_FALSE(testing::Test::HasFailure()) << "seed " << Seed;
    Runs += Model.answered();
    NotRun += Model.notRun();
    Unknown += Model.unknown();
  }
  // The run must reach each kind of end, or it proves nothing.
  EXPECT_GT(Runs, 10'000U);
  EXPECT_GT(NotRun, 500U);
  EXPECT_GT(Unknown, 100U);
}

} // namespace
} // namespace magnolia::policy
