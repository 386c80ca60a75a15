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
      {"a fault although none is set", R"({"mode":"none"})", {}, 1.0, false},
      {"a slow fault without effect",
       R"({"mode":"slow","factor":10})",
       {},
       10.0,
       false},
      {"a late fault that starts too early",
       R"({"mode":"late","after_requests":5})",
       {.Path = "/", .Requests = 5},
       1.0,
       false},
      {"a late fault that never starts",
       R"({"mode":"late","after_requests":5})",
       {.Path = "/", .Requests = 6},
       1.0,
       true},
      {"a fault of one route that affects other routes",
       R"({"mode":"one-route","route":"/hold"})",
       {.Path = "/list"},
       1.0,
       false},
      {"an under-load fault that ignores the load",
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
  // Guards against a mistyped fault that is accepted, so that a run has none.
  EXPECT_FALSE(parseFaultPlan(R"({"mode":"slowly"})"));
  EXPECT_FALSE(parseFaultPlan(R"({"mode":"slow","factor":"ten"})"));
  EXPECT_FALSE(parseFaultPlan("mode=slow"));
}

} // namespace
} // namespace magnolia::standin
