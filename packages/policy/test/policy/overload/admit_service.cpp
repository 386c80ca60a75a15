#include "policy/overload/admit_service.h"

#include <gtest/gtest.h>

namespace magnolia::policy {
namespace {

constexpr TimePoint Start{std::chrono::seconds(1)};

struct OverloadCase {
  const char *Guards;
  int Accepted;
  int Rejected;
  Duration Age;
  double AtLeast;
  double AtMost;
};

const OverloadCase Cases[] = {
    {"shedding without overload", 1000, 0, Duration{0}, 0, 0},
    {"shedding on a few rejections", 1000, 100, Duration{0}, 0, 0},
    {"shedding after too few requests", 0, 10, Duration{0}, 0, 0},
    {"no shedding at twice capacity", 500, 500, Duration{0}, 0.3, 0.5},
    {"shedding all requests, so that recovery is not detected", 0, 1000,
     Duration{0}, 0.9, 0.98},
    {"shedding because of old rejections", 0, 1000, std::chrono::seconds(1), 0,
     0},
};

TEST(AdmitService, Faults) {
  for (const OverloadCase &Row : Cases) {
    SCOPED_TRACE(Row.Guards);
    OverloadState State;
    for (int I = 0; I < Row.Accepted + Row.Rejected; ++I) {
      record(State, I < Row.Accepted, Start);
    }
    const double Shed = shedProbability(State, Start + Row.Age);
    EXPECT_GE(Shed, Row.AtLeast);
    EXPECT_LE(Shed, Row.AtMost);
  }
}

} // namespace
} // namespace magnolia::policy
