#include "policy/zone/zone.h"

#include <gtest/gtest.h>

#include <vector>

namespace magnolia::policy {
namespace {

using std::chrono::seconds;

struct ZoneEvent {
  int Second;
  bool Out;
  std::uint64_t Revision;
};

struct ZoneCase {
  const char *GuardsAgainst;
  std::vector<ZoneEvent> Events;
  int Second;
  double Low;
  double High;
};

const ZoneCase Cases[] = {
    {"a zone without a record that receives nothing", {}, 0, 1.0, 1.0},
    {"new requests to a zone out of service", {{0, true, 1}}, 0, 0.0, 0.0},
    {"an older record that returns a zone to service",
     {{0, true, 2}, {1, false, 1}},
     60,
     0.0,
     0.0},
    {"a cold zone that receives its full share at once",
     {{0, true, 1}, {10, false, 2}},
     10,
     0.01,
     0.1},
    {"a ramp that does not rise", {{0, true, 1}, {10, false, 2}}, 25, 0.4, 0.6},
    {"a zone that never receives its full share again",
     {{0, true, 1}, {10, false, 2}},
     40,
     1.0,
     1.0},
    {"a second return that skips the ramp",
     {{0, true, 1}, {10, false, 2}, {50, true, 3}, {60, false, 4}},
     60,
     0.01,
     0.1},
    {"a change of the reason that restarts the ramp",
     {{0, true, 1}, {10, false, 2}, {50, false, 3}},
     50,
     1.0,
     1.0},
    {"a node that starts after the return and ramps up a warm zone",
     {{0, false, 2}},
     0,
     1.0,
     1.0},
    {"a negative weight if the clock is behind the return",
     {{0, true, 1}, {10, false, 2}},
     5,
     0.01,
     0.1},
};

TEST(Zone, FaultCases) {
  for (const ZoneCase &Case : Cases) {
    SCOPED_TRACE(Case.GuardsAgainst);
    ZoneView View;
    for (const ZoneEvent &Event : Case.Events) {
      applyZone(View,
                {.Zone = "a",
                 .Out = Event.Out,
                 .Reason = "",
                 .Revision = Event.Revision},
                TimePoint{seconds{Event.Second}});
    }
    const double Weight = zoneWeight(View, TimePoint{seconds{Case.Second}});
    EXPECT_GE(Weight, Case.Low);
    EXPECT_LE(Weight, Case.High);
  }
}

} // namespace
} // namespace magnolia::policy
