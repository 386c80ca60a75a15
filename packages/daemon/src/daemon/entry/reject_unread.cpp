#include "daemon/entry/reject_unread.h"

#include "daemon/entry/http_service_state.h"
#include "daemon/entry/parse_call.h"
#include "daemon/net/clock.h"
#include "daemon/net/socket.h"

#include <sys/socket.h>

#include <array>
#include <string>

namespace magnolia::daemon {

using policy::ErrorKind;

namespace {

// Time in which a caller may go on sending a body that was rejected for lack of
// memory.
constexpr policy::Duration RejectedBodyTime = std::chrono::seconds(5);

} // namespace

HttpResponse rejectUnread(HttpServiceState &Service, HttpReadStatus Status,
                          const HttpLimits &Limits) {
  Metrics &Counts = Service.Counts;
  if (Status != HttpReadStatus::NoMemory) {
    Counts.count(Counter::MalformedRequests);
  }
  ErrorKind Kind = ErrorKind::BadRequest;
  std::string Detail = "the request is not valid HTTP/1.1";
  if (Status == HttpReadStatus::BodyTooLarge) {
    Kind = ErrorKind::BodyTooLarge;
    Detail = "the body is over " + std::to_string(Limits.BodyBytes) + " bytes";
  } else if (Status == HttpReadStatus::NoMemory) {
    Kind = ErrorKind::Overloaded;
    Detail = "the node has no memory for the body";
  } else if (Status == HttpReadStatus::HeadTooLarge) {
    Detail = "the headers are over " + std::to_string(Limits.HeadBytes) +
             " bytes or " + std::to_string(HttpHeaderMaximumCount) + " headers";
  }
  Counts.countError(Kind);
  return errorResponse(Service.Speaks, Kind, Detail, false);
}

DrainLimits drainLimits(HttpReadStatus Status, const HttpLimits &Limits) {
  return Status == HttpReadStatus::NoMemory
             ? DrainLimits{.Bytes = Limits.BodyBytes, .Time = RejectedBodyTime}
             : DrainLimits{};
}

void drainInput(int Fd, const DrainLimits &Limits) {
  ::shutdown(Fd, SHUT_WR);
  std::array<char, 16'384> Buffer{};
  const policy::TimePoint Until = now() + Limits.Time;
  for (std::size_t Total = 0; Total < Limits.Bytes;) {
    const auto Count = receiveSome(Fd, Buffer);
    if (Count < 0 || (Count == 0 && !waitReadable(Fd, Until))) {
      return;
    }
    Total += static_cast<std::size_t>(Count);
  }
}

} // namespace magnolia::daemon
