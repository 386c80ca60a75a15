#include "daemon/entry/reject_unread.h"

#include "daemon/entry/http_service_state.h"
#include "daemon/entry/parse_call.h"
#include "policy/linger/linger_limits.h"

#include <string>

namespace magnolia::daemon {

using policy::ErrorKind;

namespace {

// Input that is read and dropped after a response that closes the connection.
constexpr std::size_t DroppedBytes = std::size_t{4} << 20;

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

policy::LingerLimits closeLimits(const HttpServiceOptions &Options) {
  return {.DropBytes = DroppedBytes, .Longest = Options.Read};
}

policy::LingerLimits closeLimits(const HttpServiceOptions &Options,
                                 HttpReadStatus Status) {
  policy::LingerLimits Limits = closeLimits(Options);
  if (Status == HttpReadStatus::NoMemory) {
    Limits.DropBytes = Options.Limits.BodyBytes;
    Limits.Quiet = RejectedBodyTime;
  }
  return Limits;
}

} // namespace magnolia::daemon
