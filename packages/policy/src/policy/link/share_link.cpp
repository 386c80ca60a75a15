#include "policy/link/share_link.h"

#include <algorithm>

namespace magnolia::policy {

namespace {

// Weight of a new body size in the moving average.
constexpr double SizeWeight = 0.1;

double bulkRate(const LinkState &State) {
  return State.Options.BytesPerSecond * State.Options.BulkShare;
}

Duration sendTime(const LinkState &State, double Bytes) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Bytes / bulkRate(State)));
}

double expectedBodyBytes(const LinkState &State) {
  return State.MeanBodyBytes > 0 ? State.MeanBodyBytes
                                 : State.Options.DefaultBodyBytes;
}

Duration maxWait(const LinkState &State, const TransferQuery &Query,
                 TimePoint Now) {
  if (Query.Objective == TimePoint{}) {
    return std::min(State.Options.MaxWait, Query.Deadline - Now);
  }
  const auto Left = static_cast<double>((Query.Objective - Now).count());
  return Duration(static_cast<Duration::rep>(Left * State.Options.WaitShare));
}

} // namespace

bool isLimited(const LinkState &State) { return bulkRate(State) > 0; }

bool beginTransfer(LinkState &State, const TransferQuery &Query,
                   TimePoint Now) {
  if (isLimited(State) && State.Transfers > 0 &&
      expectedWait(State, Now) > maxWait(State, Query, Now)) {
    ++State.Rejected;
    return false;
  }
  ++State.Accepted;
  ++State.Transfers;
  return true;
}

void endTransfer(LinkState &State, std::size_t BodyBytes) {
  State.Transfers -= State.Transfers > 0 ? 1 : 0;
  if (BodyBytes == 0) {
    return;
  }
  const auto Bytes = static_cast<double>(BodyBytes);
  State.MeanBodyBytes =
      State.MeanBodyBytes > 0
          ? (1 - SizeWeight) * State.MeanBodyBytes + SizeWeight * Bytes
          : Bytes;
}

std::optional<TimePoint> reservePiece(LinkState &State, std::size_t Bytes,
                                      TimePoint Now, TimePoint Latest) {
  const TimePoint Start = isLimited(State) ? std::max(Now, State.FreeAt) : Now;
  if (Start > Latest) {
    return std::nullopt;
  }
  if (!isLimited(State)) {
    return Start;
  }
  State.FreeAt = Start + sendTime(State, static_cast<double>(Bytes));
  return Start;
}

Duration expectedWait(const LinkState &State, TimePoint Now) {
  if (!isLimited(State)) {
    return Duration{0};
  }
  return std::max(State.FreeAt - Now, Duration{0}) +
         sendTime(State, expectedBodyBytes(State) * State.Transfers);
}

} // namespace magnolia::policy
