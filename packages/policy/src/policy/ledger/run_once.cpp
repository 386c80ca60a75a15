#include "policy/ledger/run_once.h"

#include <algorithm>
#include <string>
#include <tuple>
#include <xxhash.h>

namespace magnolia::policy {

namespace {

// Maximum number of entries that one call removes, which bounds its duration.
constexpr int MaxExpired = 64;

KeyHash hashOfKey(std::string_view Service, std::string_view Key) {
  // The length of the service in the seed separates service and key, so that
  // two pairs with the same concatenation get different hashes.
  const XXH128_hash_t Hash = XXH3_128bits_withSeed(
      Key.data(), Key.size(), hashOf(Service, Service.size()));
  return {.Low = Hash.low64, .High = Hash.high64};
}

// Evicts origins past their retention. Returns true if any was evicted.
bool evictOrigins(RunLedger &Ledger, TimePoint Now) {
  const auto Before = Ledger.Origins.size();
  std::erase_if(Ledger.Origins, [&](const auto &Entry) {
    return Now - Entry.second.At >= Ledger.Options.OriginRetention;
  });
  return Ledger.Origins.size() < Before;
}

// Records that the ids of the origin up to this one have expired. Returns false
// if no more origins can be stored; the entry then has to stay.
bool markExpired(RunLedger &Ledger, const RequestId &Id, TimePoint Now) {
  if (!Ledger.Origins.contains(Id.Origin) &&
      Ledger.Origins.size() >= Ledger.Options.MaxOrigins &&
      !evictOrigins(Ledger, Now)) {
    return false;
  }
  OriginWatermark &Watermark = Ledger.Origins[Id.Origin];
  if (std::tie(Id.Run, Id.Sequence) >
      std::tie(Watermark.Run, Watermark.Sequence)) {
    Watermark.Run = Id.Run;
    Watermark.Sequence = Id.Sequence;
  }
  Watermark.At = Now;
  return true;
}

bool isExpired(const RunLedger &Ledger, const RequestId &Id) {
  const auto Found = Ledger.Origins.find(Id.Origin);
  return Found != Ledger.Origins.end() &&
         std::tie(Id.Run, Id.Sequence) <=
             std::tie(Found->second.Run, Found->second.Sequence);
}

void expireRequests(RunLedger &Ledger, TimePoint Now) {
  for (int I = 0; I < MaxExpired && Ledger.Requests.size() > 0; ++I) {
    const auto Front = Ledger.Requests.front();
    if (Now - Front.Since < Ledger.Options.Retention) {
      return;
    }
    if (Front.Data == RunState::Running) {
      Ledger.Requests.popFront();
      Ledger.Requests.insert(Front.Id, Front.Data, Now);
    } else if (markExpired(Ledger, Front.Id, Now)) {
      Ledger.Requests.popFront();
    } else {
      return;
    }
  }
}

void expireKeys(RunLedger &Ledger, TimePoint Now) {
  for (int I = 0; I < MaxExpired && Ledger.Keys.size() > 0; ++I) {
    const auto Front = Ledger.Keys.front();
    if (Now - Front.Since < Ledger.Options.Retention) {
      return;
    }
    Ledger.Keys.popFront();
    const Duration Age = Now - Front.Data.Since;
    if (!Front.Data.Ended || Age < Ledger.Options.Retention) {
      Ledger.Keys.insert(Front.Id, Front.Data, Now);
    }
  }
}

LedgerDecision decisionFor(RunLedger &Ledger, RunState State) {
  if (State == RunState::Fenced) {
    ++Ledger.FencedRequests;
    return LedgerDecision::Fenced;
  }
  ++Ledger.Duplicates;
  return LedgerDecision::Duplicate;
}

std::size_t requestLimit(const RunLedger &Ledger) {
  const auto Max = static_cast<double>(Ledger.Options.MaxRequests);
  return static_cast<std::size_t>(Max * (1 - Ledger.Options.FenceReserve));
}

} // namespace

LedgerDecision begin(RunLedger &Ledger, const RequestId &Id,
                     Incarnation ExpectedIncarnation, TimePoint Now) {
  if (ExpectedIncarnation != 0 && ExpectedIncarnation != Ledger.Self) {
    ++Ledger.Stale;
    return LedgerDecision::Stale;
  }
  return begin(Ledger, Id, Now);
}

LedgerDecision begin(RunLedger &Ledger, const RequestId &Id, TimePoint Now) {
  expire(Ledger, Now);
  if (const RunState *Known = Ledger.Requests.find(Id)) {
    return decisionFor(Ledger, *Known);
  }
  if (isExpired(Ledger, Id)) {
    ++Ledger.TooOld;
    return LedgerDecision::TooOld;
  }
  if (Ledger.Requests.size() >= requestLimit(Ledger)) {
    ++Ledger.RequestsRefused;
    return LedgerDecision::Full;
  }
  Ledger.Requests.insert(Id, RunState::Running, Now);
  return LedgerDecision::Run;
}

FenceDecision fence(RunLedger &Ledger, const RequestId &Id,
                    Incarnation ExpectedIncarnation, TimePoint Now) {
  if (ExpectedIncarnation != 0 && ExpectedIncarnation != Ledger.Self) {
    ++Ledger.Stale;
    return FenceDecision::Started;
  }
  return fence(Ledger, Id, Now);
}

FenceDecision fence(RunLedger &Ledger, const RequestId &Id, TimePoint Now) {
  expire(Ledger, Now);
  if (const RunState *Known = Ledger.Requests.find(Id)) {
    return *Known == RunState::Fenced ? FenceDecision::NeverRun
                                      : FenceDecision::Started;
  }
  if (isExpired(Ledger, Id)) {
    return FenceDecision::Started;
  }
  if (!Ledger.Requests.insert(Id, RunState::Fenced, Now)) {
    ++Ledger.FencesRefused;
    return FenceDecision::Started;
  }
  return FenceDecision::NeverRun;
}

ErrorKind rejectionKind(RunLedger &Ledger, const RequestId &Id, ErrorKind Kind,
                        TimePoint Now) {
  if (fence(Ledger, Id, Now) == FenceDecision::NeverRun) {
    return Kind;
  }
  return Ledger.Requests.find(Id) == nullptr ? ErrorKind::OutcomeUnknown
                                             : ErrorKind::DuplicateRequest;
}

void finish(RunLedger &Ledger, const RequestId &Id, bool Ran) {
  RunState *Known = Ledger.Requests.find(Id);
  if (Known != nullptr && *Known == RunState::Running) {
    *Known = Ran ? RunState::Done : RunState::Fenced;
  }
}

KeyDecision claimKey(RunLedger &Ledger, std::string_view Service,
                     std::string_view Key, const RequestId &Id, TimePoint Now) {
  expire(Ledger, Now);
  const KeyHash Hash = hashOfKey(Service, Key);
  if (KeyEntry *Known = Ledger.Keys.find(Hash)) {
    if (!Known->Released) {
      ++Ledger.Duplicates;
      return KeyDecision::Duplicate;
    }
    *Known = KeyEntry{.Owner = Id, .Since = Now};
    return KeyDecision::Claimed;
  }
  if (!Ledger.Keys.insert(Hash, KeyEntry{.Owner = Id, .Since = Now}, Now)) {
    ++Ledger.KeysRefused;
    return KeyDecision::Full;
  }
  return KeyDecision::Claimed;
}

void finishKey(RunLedger &Ledger, std::string_view Service,
               std::string_view Key, const RequestId &Id, bool Ran) {
  KeyEntry *Known = Ledger.Keys.find(hashOfKey(Service, Key));
  if (Known != nullptr && Known->Owner == Id) {
    Known->Ended = true;
    Known->Released = !Ran;
  }
}

void expire(RunLedger &Ledger, TimePoint Now) {
  expireRequests(Ledger, Now);
  expireKeys(Ledger, Now);
}

ErrorKind errorOf(LedgerDecision Decision) {
  switch (Decision) {
  case LedgerDecision::Duplicate:
    return ErrorKind::DuplicateRequest;
  case LedgerDecision::Fenced:
    return ErrorKind::Fenced;
  case LedgerDecision::Full:
    return ErrorKind::LedgerFull;
  case LedgerDecision::TooOld:
    return ErrorKind::OutcomeUnknown;
  case LedgerDecision::Stale:
    return ErrorKind::StaleIncarnation;
  case LedgerDecision::Run:
    break;
  }
  return ErrorKind::Internal;
}

ErrorKind errorOf(KeyDecision Decision) {
  return Decision == KeyDecision::Full ? ErrorKind::LedgerFull
                                       : ErrorKind::DuplicateRequest;
}

} // namespace magnolia::policy
