#include "policy/announce/accept_report.h"

#include <algorithm>

namespace magnolia::policy {

namespace {

// Time after which no report of a server that has left is still on its way.
constexpr Duration LeftRecordLifetime = std::chrono::minutes(10);

bool sameIncarnation(const BackendReport &Known, const BackendReport &Report) {
  return Known.Instance == Report.Instance &&
         (Known.Born == Report.Born || Report.Born == 0 || Known.Born == 0);
}

bool namesOtherAddress(const AnnounceState &State,
                       const BackendReport &Report) {
  return Report.Stage != BackendStage::Left && State.Port != 0 &&
         (Report.Address != State.Address || Report.Port != State.Port);
}

// A leave report has no sequence number: it is the last report of its
// incarnation.
bool isOutOfOrder(const BackendReport &Known, const BackendReport &Report) {
  return Report.Stage != BackendStage::Left &&
         Report.Sequence <= Known.Sequence;
}

bool isLater(const BackendReport &Known, const BackendReport &Report) {
  return Known.Born != 0 && Report.Born > Known.Born;
}

// A leave report names only the instance; the other fields keep their last
// known values. If no heartbeat of this incarnation has arrived yet, one may
// arrive late, so the incarnation is remembered all the same.
void applyLeave(AnnounceState &State, const BackendReport &Report) {
  if (!State.Known || !sameIncarnation(*State.Known, Report)) {
    State.Known = Report;
    State.Known->Address = State.Address;
    State.Known->Port = State.Port;
  }
  State.Known->Stage = BackendStage::Left;
  State.Known->LeftAt = Report.LeftAt;
}

} // namespace

ReportVerdict acceptReport(AnnounceState &State, const BackendReport &Report,
                           TimePoint Now) {
  if (namesOtherAddress(State, Report)) {
    return ReportVerdict::Foreign;
  }
  if (State.Known) {
    const BackendReport &Known = *State.Known;
    const bool Same = sameIncarnation(Known, Report);
    const bool Older = !Same && Report.Born != 0 && Report.Born < Known.Born;
    if (Older || (Same && isOutOfOrder(Known, Report))) {
      return ReportVerdict::Stale;
    }
    if (!Same && Report.Stage == BackendStage::Left &&
        !isLater(Known, Report)) {
      return ReportVerdict::Stale;
    }
  }
  State.HeardAt = Now;
  State.Restored = false;
  if (Report.Stage == BackendStage::Left) {
    applyLeave(State, Report);
    return ReportVerdict::Accepted;
  }
  BackendReport Next = Report;
  if (State.Known && sameIncarnation(*State.Known, Report)) {
    Next.Stage = std::max(Next.Stage, State.Known->Stage);
    Next.LeftAt = State.Known->LeftAt;
  }
  State.Known = std::move(Next);
  return ReportVerdict::Accepted;
}

bool restore(AnnounceState &State, const BackendReport &Kept) {
  if (State.Known || namesOtherAddress(State, Kept)) {
    return false;
  }
  State.Known = Kept;
  State.Restored = true;
  return true;
}

bool restoresTheSame(const BackendReport &Left, const BackendReport &Right) {
  return Left.Instance == Right.Instance && Left.Born == Right.Born &&
         Left.Stage == Right.Stage && Left.Version == Right.Version &&
         Left.Service == Right.Service;
}

bool isObsolete(const BackendReport &Stored, TimePoint WallNow) {
  return Stored.Stage == BackendStage::Left && Stored.LeftAt != TimePoint{} &&
         WallNow - Stored.LeftAt > LeftRecordLifetime;
}

bool confirm(AnnounceState &State, std::string_view Instance, TimePoint Now) {
  if (!State.Known || State.Known->Instance != Instance) {
    return false;
  }
  State.HeardAt = Now;
  const bool WasRestored = State.Restored;
  State.Restored = false;
  return WasRestored;
}

} // namespace magnolia::policy
