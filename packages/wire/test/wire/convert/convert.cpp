#include "wire/convert/convert.h"

#include "policy/link/received_bytes.h"
#include "wire/types.pb.h"

#include <gtest/gtest.h>

namespace magnolia::wire {
namespace {

// Guards against a field that is lost or swapped on the wire.
TEST(Convert, LoadReportAndRequestIdSurviveARoundTrip) {
  const policy::LoadReport Report{.InFlight = 1,
                                  .Limit = 2,
                                  .Waiting = 3,
                                  .Latency = std::chrono::microseconds(4),
                                  .LinkUsePercent = 9,
                                  .Run = 5,
                                  .Draining = true,
                                  .ColdStart = false};
  LoadReport Message;
  toWire(Report, Message);
  EXPECT_EQ(fromWire(Message), Report);

  const policy::RequestId Id{.Origin = 6, .Run = 7, .Sequence = 8};
  RequestId IdMessage;
  toWire(Id, IdMessage);
  EXPECT_EQ(fromWire(IdMessage), Id);
}

// Guards against arithmetic overflow on an implausible latency.
TEST(Convert, ImplausibleLatencyIsClamped) {
  LoadReport Message;
  Message.set_latency_us(~0ULL);
  EXPECT_EQ(fromWire(Message).Latency, std::chrono::hours(1));
}

// Guards against a report of an older node that is taken for a busy link, and
// against an implausible use of the link.
TEST(Convert, LinkUseIsZeroWithoutTheFieldAndLimited) {
  LoadReport Message;
  EXPECT_EQ(fromWire(Message).LinkUsePercent, 0U);
  Message.set_link_use_percent(~0U);
  EXPECT_EQ(fromWire(Message).LinkUsePercent, policy::MaxLinkUsePercent);
}

} // namespace
} // namespace magnolia::wire
