#include "daemon/control/config_runner.h"

#include "daemon/control/clock.h"
#include "daemon/control/config_codec.h"
#include "daemon/control/config_keys.h"
#include "daemon/control/control_client.h"
#include "daemon/control/membership_runner.h"
#include "daemon/control/task_queue.h"
#include "daemon/log/log.h"
#include "policy/config/apply.h"
#include "policy/config/exchange.h"
#include "policy/config/push_targets.h"
#include "policy/config/send_form.h"
#include "policy/fleet/repair.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <wire/control.pb.h>

namespace magnolia::daemon {

namespace {

template <typename Range>
std::vector<policy::ConfigEntry> entriesIn(const Range &Entries) {
  std::vector<policy::ConfigEntry> Result;
  for (const wire::ConfigEntry &Entry : Entries) {
    Result.push_back(fromWire(Entry));
  }
  return Result;
}

void logOverLimit(const policy::ConfigEntry &Entry) {
  log(LogLevel::Error, "configuration entry exceeds a limit",
      {{"key", std::string_view(Entry.Key)},
       {"revision", Entry.Revision},
       {"bytes", std::uint64_t{Entry.Value.size()}}});
}

} // namespace

ConfigRunner::ConfigRunner(MembershipRunner &Membership, ControlClient &Client,
                           TaskQueue &Queue, policy::RandomEngine &Random)
    : Membership(Membership), Client(Client), Queue(Queue), Random(Random) {}

void ConfigRunner::setEntryHandler(EntryHandler Handler) {
  OnEntry = std::move(Handler);
}

std::uint32_t ConfigRunner::apply(std::span<const policy::ConfigEntry> Entries,
                                  Source From, std::uint32_t Rounds) {
  std::vector<std::string> New;
  for (const policy::ConfigEntry &Entry : Entries) {
    if (!isConfigKey(Entry.Key)) {
      continue;
    }
    const std::uint64_t OverLimit = Table.Counters.OverLimit;
    if (policy::apply(Table, Entry)) {
      OnEntry(Entry, From);
      New.push_back(Entry.Key);
    } else if (Table.Counters.OverLimit != OverLimit) {
      logOverLimit(Entry);
    }
  }
  forward(New, From, Rounds);
  return static_cast<std::uint32_t>(New.size());
}

void ConfigRunner::onStoreResult(store::WatchResult Result, bool Settled) {
  applyStore(std::move(Result), policy::PushRounds, Settled);
}

void ConfigRunner::onStartRecords(store::WatchResult Result) {
  applyStore(std::move(Result), 0, false);
}

void ConfigRunner::applyStore(store::WatchResult Result, std::uint32_t Rounds,
                              bool Settled) {
  std::vector<policy::ConfigEntry> Entries;
  for (store::WatchEvent &Event : Result.Events) {
    Entries.push_back({.Key = std::move(Event.Key),
                       .Revision = Event.ModRevision,
                       .Value = std::move(Event.Value),
                       .Tombstone = Event.Deleted});
  }
  if (Result.Full) {
    Entries =
        policy::changesOf(Table, {.Entries = std::move(Entries),
                                  .Revision = Result.StoreRevision,
                                  .Settled = Settled,
                                  .OwnPrefix = settings::RolloutRecordPrefix});
  }
  apply(Entries, Source::Store, Rounds);
}

void ConfigRunner::onPush(const wire::PushConfigRequest &Request,
                          policy::NodeId From, wire::ControlBody &Response) {
  Traffic->BytesReceived += Request.ByteSizeLong();
  // Only an operator's tool sends a push with all rounds remaining.
  const bool IsOrigin = Request.rounds() >= policy::PushRounds;
  const Source Origin = IsOrigin ? Source::Operator : Source::Peer;
  const std::uint32_t Rounds = std::min(Request.rounds(), policy::PushRounds);
  std::uint32_t Applied = apply(entriesIn(Request.entries()), Origin, Rounds);
  for (const wire::ValuePatch &Patch : Request.patches()) {
    const wire::ValuePatch *const Single = &Patch;
    const policy::PatchOutcome Outcome =
        applyPatches(std::span(&Single, 1), Origin, Rounds);
    Applied += Outcome == policy::PatchOutcome::Applied ? 1 : 0;
    wire::KeyRevision Held;
    Held.set_key(Patch.key());
    Held.set_revision(Patch.revision());
    Held.set_bytes(Patch.bytes());
    learn(Held, From, Rounds);
  }
  for (const wire::KeyRevision &Held : Request.notices()) {
    learn(Held, From, Rounds);
  }
  Response.mutable_push_config_answer()->set_applied(Applied);
  startFetches(steadyNow());
}

void ConfigRunner::onExchange(const wire::ExchangeDigestRequest &Request,
                              policy::NodeId From,
                              wire::ControlBody &Response) {
  Traffic->BytesReceived += Request.ByteSizeLong();
  wire::ExchangeDigestAnswer &Result =
      *Response.mutable_exchange_digest_answer();
  Result.set_fetches(true);
  if (Request.buckets() == 0) {
    policy::ConfigDigest Theirs;
    const std::size_t Count = std::min<std::size_t>(
        Theirs.Buckets.size(),
        static_cast<std::size_t>(Request.bucket_digests_size()));
    for (std::size_t I = 0; I < Count; ++I) {
      Theirs.Buckets[I] = Request.bucket_digests(static_cast<int>(I));
    }
    Result.set_differing(
        policy::differingBuckets(policy::digest(Table), Theirs));
    if (Request.fetches()) {
      for (const policy::KeyRevision &Held :
           policy::largeRevisions(Table, Result.differing())) {
        *Result.add_notices() = toWire(Held);
      }
    }
  } else {
    addDifference(Request, Response);
  }
  Traffic->BytesSent += Result.ByteSizeLong();
  for (const wire::KeyRevision &Held : Request.notices()) {
    learn(Held, From, 0);
  }
  startFetches(steadyNow());
}

// Adds the entries of the differing buckets that the other node lacks, and the
// keys that this node lacks.
void ConfigRunner::addDifference(const wire::ExchangeDigestRequest &Request,
                                 wire::ControlBody &Response) const {
  std::vector<policy::KeyRevision> Revisions;
  for (const wire::KeyRevision &Entry : Request.revisions()) {
    Revisions.push_back(fromWire(Entry));
  }
  policy::ConfigDiff Diff = policy::diff(
      Table, Revisions, Request.buckets(), policy::ExchangeMaxBytes,
      Request.fetches() ? policy::LargeValues::Announced
                        : policy::LargeValues::Inline);
  wire::ExchangeDigestAnswer &Result =
      *Response.mutable_exchange_digest_answer();
  for (const policy::ConfigEntry &Entry : Diff.Newer) {
    *Result.add_newer() = toWire(Entry);
  }
  for (const policy::KeyRevision &Held : Diff.Notices) {
    *Result.add_notices() = toWire(Held);
  }
  for (std::string &Key : Diff.Wanted) {
    Result.add_wanted(std::move(Key));
  }
}

void ConfigRunner::onDifference(const policy::Member &Other,
                                policy::TimePoint Now) {
  if (!policy::takeRepair(Repair, Table, Now)) {
    return;
  }
  wire::ControlBody Body;
  wire::ExchangeDigestRequest &Request = *Body.mutable_exchange_digest();
  for (const std::uint64_t Bucket : policy::digest(Table).Buckets) {
    Request.add_bucket_digests(Bucket);
  }
  Request.set_fetches(true);
  for (const policy::KeyRevision &Held : policy::largeRevisions(Table)) {
    *Request.add_notices() = toWire(Held);
  }
  send(
      Other, std::move(Body),
      [this, Other](const wire::ControlBody *Response) {
        if (Response == nullptr || !Response->has_exchange_digest_answer()) {
          return;
        }
        const wire::ExchangeDigestAnswer &Result =
            Response->exchange_digest_answer();
        for (const wire::KeyRevision &Held : Result.notices()) {
          learn(Held, Other.Node, 0);
        }
        startFetches(steadyNow());
        if (Result.differing() != 0) {
          exchangeRevisions(Other, Result.differing());
        }
      },
      ControlCallTimeout);
}

void ConfigRunner::forward(std::span<const std::string> Keys, Source From,
                           std::uint32_t Rounds) {
  if (!Keys.empty() && Rounds > 0 && From != Source::Repair) {
    push(Keys, From, Rounds - 1);
  }
}

void ConfigRunner::push(std::span<const std::string> Keys, Source From,
                        std::uint32_t Rounds) {
  wire::ControlBody Body;
  wire::PushConfigRequest &Request = *Body.mutable_push_config();
  Request.set_rounds(Rounds);
  for (const std::string &Key : Keys) {
    const policy::ConfigEntry &Entry = Table.Entries.at(Key);
    switch (policy::pushForm(Table, Entry)) {
    case policy::SendForm::Nothing:
      break;
    case policy::SendForm::Notice:
      *Request.add_notices() = toWire(policy::KeyRevision{
          .Key = Key, .Revision = Entry.Revision, .Bytes = Entry.Value.size()});
      break;
    case policy::SendForm::Patches:
      *Request.add_patches() = toWire(Table.Histories.at(Key).Patches.back());
      break;
    case policy::SendForm::Value:
      *Request.add_entries() = toWire(Entry);
      break;
    }
  }
  // Each zone has its own watchers of the store, so only an operator's push has
  // to cross zones.
  const std::vector<policy::Member> Targets =
      policy::pushTargets(Membership.self(), Membership.members(),
                          {.Origin = From == Source::Operator}, Random);
  for (const policy::Member &Target : Targets) {
    send(Target, Body, {}, ControlCallTimeout);
  }
}

void ConfigRunner::exchangeRevisions(const policy::Member &Other,
                                     std::uint64_t Buckets) {
  wire::ControlBody Body;
  wire::ExchangeDigestRequest &Request = *Body.mutable_exchange_digest();
  Request.set_buckets(Buckets);
  Request.set_fetches(true);
  for (const policy::KeyRevision &Held : policy::revisions(Table, Buckets)) {
    *Request.add_revisions() = toWire(Held);
  }
  send(
      Other, std::move(Body),
      [this, Other](const wire::ControlBody *Response) {
        if (Response != nullptr && Response->has_exchange_digest_answer()) {
          onExchangedEntries(Other, *Response);
        }
      },
      ControlCallTimeout);
}

void ConfigRunner::onExchangedEntries(const policy::Member &Other,
                                      const wire::ControlBody &Response) {
  const wire::ExchangeDigestAnswer &Result = Response.exchange_digest_answer();
  apply(entriesIn(Result.newer()), Source::Repair, 0);
  for (const wire::KeyRevision &Held : Result.notices()) {
    learn(Held, Other.Node, 0);
  }
  startFetches(steadyNow());
  const std::vector<std::string> Wanted(Result.wanted().begin(),
                                        Result.wanted().end());
  wire::ControlBody Body;
  wire::PushConfigRequest &Request = *Body.mutable_push_config();
  Request.set_rounds(0);
  for (const policy::ConfigEntry &Entry :
       policy::missingFrom(Table, Wanted, policy::ExchangeMaxBytes,
                           Result.fetches() ? policy::LargeValues::Announced
                                            : policy::LargeValues::Inline)) {
    *Request.add_entries() = toWire(Entry);
  }
  if (Result.fetches()) {
    for (const policy::KeyRevision &Held : policy::largeAmong(Table, Wanted)) {
      *Request.add_notices() = toWire(Held);
    }
  }
  if (Request.entries_size() != 0 || Request.notices_size() != 0) {
    send(Other, std::move(Body), {}, ControlCallTimeout);
  }
}

void ConfigRunner::send(const policy::Member &Target, wire::ControlBody Body,
                        ResponseHandler Handler, policy::Duration Timeout) {
  Traffic->BytesSent += Body.ByteSizeLong();
  Client.call(
      {.Address = Target.Address, .Port = Target.ControlPort}, std::move(Body),
      [&Queue = Queue, Traffic = Traffic, Handler = std::move(Handler)](
          std::optional<wire::ControlBody> Response) {
        if (Response) {
          Traffic->BytesReceived += Response->ByteSizeLong();
        }
        if (Handler) {
          Queue.post([Handler, Response = std::move(Response)] {
            Handler(Response ? &*Response : nullptr);
          });
        }
      },
      Timeout);
}

} // namespace magnolia::daemon
