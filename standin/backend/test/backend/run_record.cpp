#include "backend/run_record.h"

#include <gtest/gtest.h>

namespace magnolia::standin {
namespace {

TEST(RunRecord, CountsEveryRunOfAToken) {
  // Guards against a second run that is not counted because it has a new id.
  RunRecord Record;
  Record.started("id-1", "token");
  Record.started("id-2", "token");
  EXPECT_EQ(Record.runs().at("token"), 2U);
  EXPECT_EQ(Record.repeatedIds(), 0U);
}

TEST(RunRecord, CountsARepeatedIdOnce) {
  // Guards against a resent request under the same id.
  RunRecord Record;
  Record.started("id-1", "a");
  Record.started("id-1", "a");
  Record.started("id-1", "a");
  EXPECT_EQ(Record.repeatedIds(), 1U);
}

TEST(RunRecord, ArrivalIsNoRun) {
  // Guards against a shed request that is counted as a run.
  RunRecord Record;
  Record.arrived(77);
  EXPECT_EQ(Record.requests(), 1U);
  EXPECT_EQ(Record.lastRequestMs(), 77);
  EXPECT_TRUE(Record.runs().empty());
}

} // namespace
} // namespace magnolia::standin
