#include "policy/usage/hold_duty.h"

#include "policy/core/epoch.h"
#include "policy/usage/merge.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>
#include <vector>

namespace magnolia::policy {

namespace {

constexpr Duration StorePause = std::chrono::seconds(1);
constexpr Duration FirstSendPause = std::chrono::milliseconds(200);
constexpr Duration MaxSendPause = std::chrono::seconds(2);

// Part of the lease in which a report may be started. The rest is for bytes on
// their way and for clocks that run at different rates.
Duration sendTime(const UsageOptions &Options) { return Options.Lease * 2 / 3; }

// Time without a sign of the holder after which it counts as failed.
Duration silenceLimit(const UsageOptions &Options) {
  return std::max(Options.Lease * 2 / 3, 2 * sendInterval(Options));
}

// Time for which a record must stay the same before it is replaced. Two changes
// of the holder are therefore more than a lease apart.
Duration claimWait(const UsageOptions &Options) {
  return Options.Lease + Options.Lease / 10;
}

// Time between the starts of two writes after which a pending report makes the
// holder renew its right to send. It is longer than the wait of a claim, so
// that a holder that cannot reach the receiver may still be replaced.
Duration renewInterval(const UsageOptions &Options) {
  return 2 * Options.Lease;
}

std::string operationId(DutyState &State, const DutyInput &Input) {
  return std::to_string(Input.Self) + "-" + std::to_string(Input.Run) + "-" +
         std::to_string(++State.Writes);
}

void lose(DutyState &State, TimePoint Now) {
  if (State.Holding) {
    ++State.Counts.Lost;
  }
  State.Holding = false;
  State.Held = {};
  State.HeldRevision = 0;
  State.Seen.reset();
  State.HolderHeardAt = Now;
}

// Drops the reports that were accepted, and the oldest above the maximum.
void trimPending(const DutyState &State, DutyRecord &Record) {
  std::erase_if(Record.Pending, [&State](const WindowCounts &Next) {
    return Next.Window <= State.Done;
  });
  while (Record.Pending.size() > MaxKeptWindows) {
    Record.Pending.erase(Record.Pending.begin());
  }
}

// Returns the last window whose counts no collector keeps any more.
UsageWindow lastOutdated(const DutyInput &Input, const UsageOptions &Options) {
  const UsageWindow Current = windowOf(*Input.True, Options.Window);
  return Current > MaxKeptWindows ? Current - MaxKeptWindows : 0;
}

// Adds the windows that are final, and skips those that are outdated.
void addFinalWindows(const DutyState &State, DutyRecord &Record,
                     const DutyInput &Input, const UsageOptions &Options) {
  Record.Recorded = std::max(Record.Recorded, lastOutdated(Input, Options));
  while (isFinal(Input.Totals, Record.Recorded + 1, Input.Reporting,
                 *Input.True, Options)) {
    ++Record.Recorded;
    Record.Pending.push_back(
        {.Window = Record.Recorded,
         .Counts = countsOf(Input.Totals, Record.Recorded)});
  }
  trimPending(State, Record);
}

// Returns whether the record may be older than another one that was in effect:
// the store was restored from a copy after the record was written.
bool mayBeOutdated(const SeenDuty &Seen, const DutyInput &Input) {
  return !Seen.Readable ||
         std::max(epochOf(Seen.Revision), Input.Epoch) > Seen.Record.Epoch;
}

// Returns the last window that a new holder must not record. An outdated record
// may lack windows that had ended, so the holder begins with one that has not
// ended yet.
UsageWindow lastRecorded(const DutyState &State, const SeenDuty &Seen,
                         const DutyInput &Input, const UsageOptions &Options) {
  const UsageWindow Current = windowOf(*Input.True, Options.Window);
  UsageWindow Last = std::max(Seen.Record.Recorded, State.Known.Recorded);
  if (mayBeOutdated(Seen, Input)) {
    return std::max(Last, Current);
  }
  if (Last == 0) {
    const UsageWindow First = firstWindow(Input.Totals);
    Last = std::max<UsageWindow>(
               First == 0 ? Current : std::min(First, Current), 1) -
           1;
  }
  return Last;
}

DutyAction startWrite(DutyState &State, DutyRecord Record,
                      std::uint64_t Expected, const DutyInput &Input) {
  Record.OperationId = operationId(State, Input);
  Record.Epoch = std::max(epochOf(Expected), Input.Epoch);
  State.StoreBusy = true;
  State.Write = StartedWrite{
      .Record = Record, .Expected = Expected, .StartedAt = Input.Now};
  return {.Kind = DutyActionKind::Write,
          .Record = std::move(Record),
          .Expected = Expected};
}

DutyAction startRead(DutyState &State, TimePoint Now) {
  State.StoreBusy = true;
  State.ReadStartedAt = Now;
  return {.Kind = DutyActionKind::Read};
}

std::optional<DutyAction> resolveWrite(DutyState &State, TimePoint Now) {
  if (!State.Write->Repeat) {
    return startRead(State, Now);
  }
  State.StoreBusy = true;
  State.Write->Repeat = false;
  return DutyAction{.Kind = DutyActionKind::Write,
                    .Record = State.Write->Record,
                    .Expected = State.Write->Expected};
}

std::optional<DutyAction> nextSend(DutyState &State, const DutyInput &Input,
                                   const UsageOptions &Options) {
  const TimePoint Until = State.LeaseStart + sendTime(Options);
  if (State.Sending || Input.Now < State.NextSend || Input.Now >= Until ||
      State.Held.Pending.empty()) {
    return std::nullopt;
  }
  State.Sending = true;
  return DutyAction{.Kind = DutyActionKind::Send,
                    .Report = State.Held.Pending.front(),
                    .Token = State.Held.Token,
                    .SendUntil = Until};
}

std::optional<DutyAction> nextRecord(DutyState &State, const DutyInput &Input,
                                     const UsageOptions &Options) {
  if (Input.Leaving || !Input.True) {
    return std::nullopt;
  }
  if (lastOutdated(Input, Options) <= State.Held.Recorded &&
      !isFinal(Input.Totals, State.Held.Recorded + 1, Input.Reporting,
               *Input.True, Options)) {
    return std::nullopt;
  }
  DutyRecord Next = State.Held;
  addFinalWindows(State, Next, Input, Options);
  return startWrite(State, std::move(Next), State.HeldRevision, Input);
}

// Writes the record again if a report is pending and the next window is far
// away.
std::optional<DutyAction> nextRenewal(DutyState &State, const DutyInput &Input,
                                      const UsageOptions &Options) {
  if (Input.Leaving || !Input.True || State.Held.Pending.empty() ||
      Input.Now < State.LeaseStart + renewInterval(Options)) {
    return std::nullopt;
  }
  return startWrite(State, State.Held, State.HeldRevision, Input);
}

// Returns whether this node has to replace the holder now.
bool mustReplace(DutyState &State, const DutyInput &Input,
                 const UsageOptions &Options) {
  const bool Overdue =
      State.Known.Recorded != 0 &&
      *Input.True >= endOf(State.Known.Recorded + 1, Options.Window) +
                         countWait(Options) + Options.Delay / 6;
  const bool Needed = (State.Known.Token != 0 && !Input.HolderLive) ||
                      Overdue ||
                      Input.Now >= State.HolderHeardAt + silenceLimit(Options);
  if (!Needed) {
    State.NeededSince.reset();
    State.Seen.reset();
    return false;
  }
  if (!State.NeededSince) {
    State.NeededSince = Input.Now;
  }
  const auto Rank = static_cast<Duration::rep>(*Input.Rank);
  return Input.Now >= *State.NeededSince + Rank * Options.Lease;
}

std::optional<DutyAction> nextClaim(DutyState &State, const DutyInput &Input,
                                    const UsageOptions &Options) {
  if (!Input.Rank || Input.Leaving || !Input.True ||
      !mustReplace(State, Input, Options)) {
    return std::nullopt;
  }
  if (!State.Seen) {
    return startRead(State, Input.Now);
  }
  const SeenDuty Seen = *State.Seen;
  if (Input.Now < Seen.Since + claimWait(Options)) {
    return std::nullopt;
  }
  DutyRecord Next = Seen.Record;
  Next.Holder = Input.Name;
  Next.Node = Input.Self;
  Next.Token = 0;
  Next.Recorded = lastRecorded(State, Seen, Input, Options);
  if (mayBeOutdated(Seen, Input)) {
    // A holder that has not noticed the restoration may have replaced a record
    // of other reports for the same windows.
    Next.Pending.clear();
  }
  State.Done = 0;
  addFinalWindows(State, Next, Input, Options);
  State.Seen.reset();
  return startWrite(State, std::move(Next), Seen.Revision, Input);
}

bool contains(const std::vector<WindowCounts> &Reports, UsageWindow Window) {
  return std::any_of(
      Reports.begin(), Reports.end(),
      [Window](const WindowCounts &Next) { return Next.Window == Window; });
}

// Counts the windows that the record adds and those that it leaves out.
void countWindows(DutyState &State, const DutyRecord &Record) {
  for (const WindowCounts &Next : State.Held.Pending) {
    State.Counts.GivenUp +=
        Next.Window > State.Done && !contains(Record.Pending, Next.Window);
  }
  const UsageWindow Before = State.Known.Recorded;
  const auto Added = static_cast<std::uint64_t>(std::count_if(
      Record.Pending.begin(), Record.Pending.end(),
      [Before](const auto &Next) { return Next.Window > Before; }));
  State.Counts.Recorded += Added;
  if (Before != 0 && Record.Recorded > Before + Added) {
    State.Counts.GivenUp += Record.Recorded - Before - Added;
  }
}

// Applies a write that took effect.
void take(DutyState &State, std::uint64_t Revision, TimePoint Now) {
  const StartedWrite Done = *std::exchange(State.Write, std::nullopt);
  const DutyRecord &Record = Done.Record;
  const bool Claim = Record.Token == 0;
  const std::uint64_t Token = Claim ? Revision : Record.Token;
  // A store that was restored from a copy may have taken the expected revision
  // for that of another write, which this one then replaced, or may have lost
  // the record that the expected absence was followed by.
  const bool OtherStore = epochOf(Revision) != Record.Epoch;
  const bool OtherHolder =
      State.Known.Token > Token ||
      (State.Known.Token == Token && State.Known.Holder != Record.Node);
  if (OtherStore || OtherHolder) {
    lose(State, Now);
    return;
  }
  State.Counts.Gained += Claim ? 1 : 0;
  countWindows(State, Record);
  State.Holding = true;
  State.Held = Record;
  State.Held.Token = Token;
  State.HeldRevision = Revision;
  State.LeaseStart = Done.StartedAt;
  State.NeededSince.reset();
  trimPending(State, State.Held);
  join(State.Known,
       {.Holder = Record.Node, .Token = Token, .Recorded = Record.Recorded});
}

} // namespace

std::optional<DutyAction> nextDutyAction(DutyState &State,
                                         const DutyInput &Input,
                                         const UsageOptions &Options) {
  if (State.HolderHeardAt == TimePoint{}) {
    State.HolderHeardAt = Input.Now;
  }
  if (State.Holding && State.Known.Token > State.Held.Token) {
    lose(State, Input.Now);
  }
  if (State.Holding) {
    if (auto Send = nextSend(State, Input, Options)) {
      return Send;
    }
  }
  if (State.StoreBusy || Input.Now < State.NextStoreCall) {
    return std::nullopt;
  }
  if (State.Write) {
    return resolveWrite(State, Input.Now);
  }
  if (!State.Holding) {
    return nextClaim(State, Input, Options);
  }
  auto Record = nextRecord(State, Input, Options);
  return Record ? Record : nextRenewal(State, Input, Options);
}

void onDutyWritten(DutyState &State, WriteOutcome Outcome,
                   std::uint64_t Revision, TimePoint Now) {
  State.StoreBusy = false;
  switch (Outcome) {
  case WriteOutcome::Written:
    take(State, Revision, Now);
    return;
  case WriteOutcome::Conflict:
    // The record may be that of this write, from an earlier attempt.
    State.Write->MayHaveLanded = true;
    return;
  case WriteOutcome::NotWritten:
    if (!State.Write->MayHaveLanded) {
      State.Write.reset();
    }
    break;
  case WriteOutcome::Unknown:
    State.Write->MayHaveLanded = true;
    break;
  }
  State.NextStoreCall = Now + StorePause;
}

void onDutyRead(DutyState &State, const std::optional<SeenDuty> &Read,
                TimePoint Now) {
  State.StoreBusy = false;
  if (!Read) {
    State.NextStoreCall = Now + StorePause;
    return;
  }
  if (State.Write) {
    if (Read->Revision != 0 &&
        Read->Record.OperationId == State.Write->Record.OperationId) {
      take(State, Read->Revision, Now);
      return;
    }
    if (Read->Revision == State.Write->Expected) {
      // A later effect of the write is also later than this read.
      State.Write->Repeat = true;
      State.Write->StartedAt = State.ReadStartedAt;
      State.NextStoreCall = Now + StorePause;
      return;
    }
    State.Write.reset();
    lose(State, Now);
  } else {
    State.Seen = *Read;
  }
  if (Read->Revision != 0 && Read->Readable) {
    const DutyRecord &Record = Read->Record;
    join(State.Known,
         {.Holder = Record.Node,
          .Token = Record.Token == 0 ? Read->Revision : Record.Token,
          .Recorded = Record.Recorded});
  }
}

void onDutySent(DutyState &State, UsageWindow Window, SendOutcome Outcome,
                bool Late, TimePoint Now) {
  State.Sending = false;
  if (Outcome == SendOutcome::Retry) {
    State.SendPause =
        std::clamp(2 * State.SendPause, FirstSendPause, MaxSendPause);
    State.NextSend = Now + State.SendPause;
    return;
  }
  State.SendPause = {};
  State.NextSend = Now;
  if (Outcome == SendOutcome::Accepted) {
    ++State.Counts.Sent;
    State.Counts.Late += Late ? 1 : 0;
  } else {
    ++State.Counts.GivenUp;
  }
  State.Done = std::max(State.Done, Window);
  std::erase_if(State.Held.Pending, [Window](const WindowCounts &Next) {
    return Next.Window <= Window;
  });
}

void onDutyFacts(DutyState &State, const DutyFacts &Facts, NodeId From,
                 bool Holds, TimePoint Now) {
  join(State.Known, Facts);
  if (Holds && From == State.Known.Holder) {
    State.HolderHeardAt = Now;
  }
}

} // namespace magnolia::policy
