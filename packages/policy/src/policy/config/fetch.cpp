#include "policy/config/fetch.h"

#include <algorithm>
#include <utility>

namespace magnolia::policy {

namespace {

std::uint64_t heldRevision(const ConfigTable &Table, std::string_view Key) {
  const auto Found = Table.Entries.find(Key);
  return Found == Table.Entries.end() ? 0 : Found->second.Revision;
}

FetchSource *findSource(KeyFetch &Fetch, NodeId Node) {
  const auto Found =
      std::find_if(Fetch.Sources.begin(), Fetch.Sources.end(),
                   [&](const auto &Source) { return Source.Node == Node; });
  return Found == Fetch.Sources.end() ? nullptr : &*Found;
}

// Adds the node, in place of the one with the lowest revision if there are
// enough.
void addSource(KeyFetch &Fetch, const Announcement &Heard,
               std::size_t MaxSources) {
  if (FetchSource *Known = findSource(Fetch, Heard.From)) {
    Known->Revision = std::max(Known->Revision, Heard.Held.Revision);
    return;
  }
  const FetchSource Added = {
      .Node = Heard.From, .Revision = Heard.Held.Revision, .NotBefore = {}};
  if (Fetch.Sources.size() < MaxSources) {
    Fetch.Sources.push_back(Added);
    return;
  }
  const auto Lowest =
      std::min_element(Fetch.Sources.begin(), Fetch.Sources.end(),
                       [](const auto &Left, const auto &Right) {
                         return std::pair(Left.Revision, Right.NotBefore) <
                                std::pair(Right.Revision, Left.NotBefore);
                       });
  if (Lowest->Revision <= Added.Revision) {
    *Lowest = Added;
  }
}

Duration doubled(Duration First, std::uint32_t Times, Duration Most) {
  for (; Times > 0 && First < Most; --Times) {
    First *= 2;
  }
  return std::min(First, Most);
}

Duration timeoutOf(const FetchOptions &Options, const KeyFetch &Fetch,
                   std::size_t HeldBytes) {
  const std::size_t Bytes = std::max(Fetch.Bytes, HeldBytes);
  const Duration Transfer =
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
          static_cast<double>(Bytes) /
          static_cast<double>(Options.MinBytesPerSecond)));
  return doubled(Options.BaseTimeout + Transfer, Fetch.Failures,
                 Options.MaxTimeout);
}

// Returns a random one of the nodes that may be asked now and announced the
// highest revision, or null.
const FetchSource *chooseSource(const KeyFetch &Fetch, std::uint64_t Held,
                                const std::function<bool(NodeId)> &IsLive,
                                TimePoint Now, RandomEngine &Random) {
  std::vector<const FetchSource *> Best;
  for (const FetchSource &Source : Fetch.Sources) {
    if (Source.Revision <= Held || Source.NotBefore > Now ||
        !IsLive(Source.Node)) {
      continue;
    }
    if (!Best.empty() && Best.front()->Revision < Source.Revision) {
      Best.clear();
    }
    if (Best.empty() || Best.front()->Revision == Source.Revision) {
      Best.push_back(&Source);
    }
  }
  return Best.empty() ? nullptr : Best[Random() % Best.size()];
}

// Notes that the asked node has less than it announced, or does not respond.
void fail(FetchState &State, KeyFetch &Fetch, TimePoint Now) {
  const Duration Backoff =
      doubled(State.Options.Backoff, Fetch.Failures, State.Options.MaxBackoff);
  ++State.Failed;
  if (++Fetch.Failures >= State.Options.FailuresBeforePause) {
    Fetch.NotBefore = Now + Backoff;
  }
  if (FetchSource *const Source = findSource(Fetch, Fetch.AskedNode)) {
    Source->NotBefore = Now + Backoff;
  }
}

// Ends the fetches whose response was lost within this node, for example in a
// full task queue.
void endOverdue(FetchState &State, TimePoint Now) {
  for (auto &[Key, Fetch] : State.Keys) {
    if (Fetch.InFlight != 0 && Now >= Fetch.Overdue) {
      --State.InFlight;
      Fetch.InFlight = 0;
      fail(State, Fetch, Now);
    }
  }
}

} // namespace

void learn(FetchState &State, const ConfigTable &Table,
           const Announcement &Heard, TimePoint Now) {
  if (Heard.Held.Key.empty() ||
      Heard.Held.Key.size() > Table.Limits.MaxKeyBytes ||
      heldRevision(Table, Heard.Held.Key) >= Heard.Held.Revision) {
    return;
  }
  if (!State.Keys.contains(Heard.Held.Key) &&
      State.Keys.size() >= State.Options.MaxKeys) {
    ++State.Refused;
    return;
  }
  KeyFetch &Fetch = State.Keys[Heard.Held.Key];
  if (Heard.Held.Revision > Fetch.Known) {
    Fetch.Known = Heard.Held.Revision;
    Fetch.Bytes = 0;
    Fetch.NotBefore = {};
  }
  if (Heard.Held.Revision == Fetch.Known) {
    Fetch.Bytes = std::max(Fetch.Bytes, Heard.Held.Bytes);
    Fetch.HeardAt = Now;
  }
  Fetch.Rounds = std::max(Fetch.Rounds, Heard.Rounds);
  if (Heard.From != 0) {
    addSource(Fetch, Heard, State.Options.MaxSources);
  }
}

std::vector<FetchCall> takeFetches(FetchState &State, const ConfigTable &Table,
                                   const std::function<bool(NodeId)> &IsLive,
                                   TimePoint Now, RandomEngine &Random) {
  std::vector<FetchCall> Calls;
  const FetchOptions &Options = State.Options;
  endOverdue(State, Now);
  std::erase_if(State.Keys, [&](const auto &Item) {
    const KeyFetch &Fetch = Item.second;
    return Fetch.InFlight == 0 &&
           (heldRevision(Table, Item.first) >= Fetch.Known ||
            Now >= Fetch.HeardAt + Options.ForgetAfter);
  });
  for (auto &[Key, Fetch] : State.Keys) {
    if (State.InFlight >= Options.MaxInFlight) {
      break;
    }
    const std::uint64_t Held = heldRevision(Table, Key);
    const FetchSource *const Source =
        Fetch.InFlight != 0 || Now < Fetch.NotBefore
            ? nullptr
            : chooseSource(Fetch, Held, IsLive, Now, Random);
    if (Source == nullptr) {
      continue;
    }
    ++State.InFlight;
    ++State.Started;
    Fetch.InFlight = ++State.LastId;
    Fetch.AskedNode = Source->Node;
    Fetch.AskedRevision = Source->Revision;
    const std::size_t HeldBytes =
        Held == 0 ? 0 : Table.Entries.at(Key).Value.size();
    const Duration Timeout = timeoutOf(Options, Fetch, HeldBytes);
    Fetch.Overdue = Now + Timeout + Options.BaseTimeout;
    Calls.push_back({.Key = Key,
                     .Id = Fetch.InFlight,
                     .From = Source->Node,
                     .HeldRevision = Fetch.NeedsValue ? 0 : Held,
                     .Timeout = Timeout});
  }
  return Calls;
}

void endFetch(FetchState &State, const ConfigTable &Table,
              const FetchCall &Call, FetchOutcome Outcome, Duration RetryAfter,
              TimePoint Now) {
  const auto Found = State.Keys.find(Call.Key);
  if (Found == State.Keys.end() || Found->second.InFlight != Call.Id) {
    return;
  }
  KeyFetch &Fetch = Found->second;
  --State.InFlight;
  Fetch.InFlight = 0;
  const std::uint64_t Held = heldRevision(Table, Call.Key);
  if (Held >= Fetch.Known) {
    State.Keys.erase(Found);
    return;
  }
  switch (Outcome) {
  case FetchOutcome::Arrived:
    Fetch.Failures = 0;
    Fetch.NeedsValue = false;
    if (Held < Fetch.AskedRevision) {
      fail(State, Fetch, Now);
    }
    return;
  case FetchOutcome::Postponed:
    ++State.Postponed;
    if (FetchSource *const Source = findSource(Fetch, Call.From)) {
      Source->NotBefore = Now + RetryAfter;
    }
    return;
  case FetchOutcome::Misfit:
    Fetch.NeedsValue = true;
    return;
  case FetchOutcome::Refused:
    ++State.Failed;
    Fetch.NotBefore = Now + State.Options.ForgetAfter;
    return;
  case FetchOutcome::Failed:
  case FetchOutcome::Nothing:
    fail(State, Fetch, Now);
    return;
  }
}

std::uint32_t roundsOf(const FetchState &State, std::string_view Key) {
  const auto Found = State.Keys.find(Key);
  return Found == State.Keys.end() ? 0 : Found->second.Rounds;
}

bool isOutdated(const FetchState &State, const ConfigTable &Table,
                std::string_view Key) {
  const auto Found = State.Keys.find(Key);
  return Found != State.Keys.end() &&
         Found->second.Known > heldRevision(Table, Key);
}

} // namespace magnolia::policy
