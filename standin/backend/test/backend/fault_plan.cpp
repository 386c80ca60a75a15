#include "backend/fault_plan.h"

#include <gtest/gtest.h>

namespace magnolia::standin {
namespace {

struct Row {
  const char *Guards;
  const char *Json;
  RequestFacts Facts;
  double Factor;
  bool Fails;
};

TEST(FaultPlan, HasTheEffectOfItsMode) {
  const Row Rows[] = {
      {"a fault where none is set", R"({"mode":"none"})", {}, 1.0, false},
      {"slow that isn't", R"({"mode":"slow","factor":10})", {}, 10.0, false},
      {"late that is early",
       R"({"mode":"late","after_requests":5})",
       {.Path = "/", .Requests = 5},
       1.0,
       false},
      {"late that never comes",
       R"({"mode":"late","after_requests":5})",
       {.Path = "/", .Requests = 6},
       1.0,
       true},
      {"one route that fails everywhere",
       R"({"mode":"one-route","route":"/hold"})",
       {.Path = "/list"},
       1.0,
       false},
      {"under load that ignores the load",
       R"({"mode":"under-load","factor":4})",
       {.Path = "/", .Requests = 1, .InFlight = 6, .Slots = 12},
       4.0,
       false},
  };
  for (const auto &[Guards, Json, Facts, Factor, Fails] : Rows) {
    const auto Plan = parseFaultPlan(Json);
    ASSERT_TRUE(Plan) << Json;
    const auto Effect = effect(*Plan, Facts);
    EXPECT_EQ(Effect.Factor, Factor) << "guards against " << Guards;
    EXPECT_EQ(Effect.Fails, Fails) << "guards against " << Guards;
  }
}

TEST(FaultPlan, RejectsWhatItDoesNotKnow) {
  // Guards against a mistyped fault that leaves a run without one.
  EXPECT_FALSE(parseFaultPlan(R"({"mode":"slowly"})"));
  EXPECT_FALSE(parseFaultPlan(R"({"mode":"slow","factor":"ten"})"));
  EXPECT_FALSE(parseFaultPlan("mode=slow"));
}

} // namespace
} // namespace magnolia::standin
