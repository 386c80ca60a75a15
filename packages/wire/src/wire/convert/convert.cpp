#include "wire/convert/convert.h"

#include "policy/link/received_bytes.h"
#include "wire/types.pb.h"

#include <algorithm>
#include <chrono>

namespace magnolia::wire {

namespace {

// Latencies from the wire are clamped to this maximum, so that arithmetic on
// them cannot overflow.
constexpr std::uint64_t LatencyMaximumUs = 3'600'000'000;
constexpr std::uint32_t WorkTimeMaximum = 100'000;

} // namespace

policy::LoadReport fromWire(const LoadReport &Message) {
  return {.InFlight = Message.in_flight(),
          .Limit = Message.limit(),
          .Waiting = Message.waiting(),
          .Latency = std::chrono::microseconds(
              std::min<std::uint64_t>(Message.latency_us(), LatencyMaximumUs)),
          .WorkTimePercent =
              std::min(Message.work_time_percent(), WorkTimeMaximum),
          .LinkUsePercent =
              std::min(Message.link_use_percent(), policy::MaxLinkUsePercent),
          .Run = Message.incarnation(),
          .Draining = Message.draining(),
          .ColdStart = Message.cold_start()};
}

void toWire(const policy::LoadReport &Report, LoadReport &Message) {
  Message.set_in_flight(Report.InFlight);
  Message.set_limit(Report.Limit);
  Message.set_waiting(Report.Waiting);
  Message.set_latency_us(static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(Report.Latency)
          .count()));
  Message.set_work_time_percent(Report.WorkTimePercent);
  Message.set_link_use_percent(Report.LinkUsePercent);
  Message.set_incarnation(Report.Run);
  Message.set_draining(Report.Draining);
  Message.set_cold_start(Report.ColdStart);
}

policy::RequestId fromWire(const RequestId &Message) {
  return {.Origin = Message.origin(),
          .Run = Message.incarnation(),
          .Sequence = Message.sequence()};
}

void toWire(const policy::RequestId &Id, RequestId &Message) {
  Message.set_origin(Id.Origin);
  Message.set_incarnation(Id.Run);
  Message.set_sequence(Id.Sequence);
}

} // namespace magnolia::wire
