#include "daemon/control/config_runner.h"

#include "daemon/control/config_keys.h"
#include "daemon/control/control_client.h"
#include "daemon/control/membership_runner.h"
#include "daemon/control/task_queue.h"
#include "policy/config/apply.h"
#include "policy/config/exchange.h"
#include "policy/config/push_targets.h"
#include "policy/fleet/repair.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <wire/control.pb.h>

namespace magnolia::daemon {

namespace {

wire::ConfigEntry toWire(const policy::ConfigEntry &Entry) {
  wire::ConfigEntry Result;
  Result.set_key(Entry.Key);
  Result.set_revision(Entry.Revision);
  Result.set_value(Entry.Value);
  Result.set_tombstone(Entry.Tombstone);
  return Result;
}

template <typename Range>
std::vector<policy::ConfigEntry> fromWire(const Range &Entries) {
  std::vector<policy::ConfigEntry> Result;
  for (const wire::ConfigEntry &Entry : Entries) {
    Result.push_back({.Key = Entry.key(),
                      .Revision = Entry.revision(),
                      .Value = Entry.value(),
                      .Tombstone = Entry.tombstone()});
  }
  return Result;
}

ControlEndpoint endpointOf(const policy::Member &Target) {
  return {.Address = Target.Address, .Port = Target.ControlPort};
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
  std::vector<policy::ConfigEntry> New;
  for (const policy::ConfigEntry &Entry : Entries) {
    if (isConfigKey(Entry.Key) && policy::apply(Table, Entry)) {
      OnEntry(Entry, From);
      New.push_back(Entry);
    }
  }
  if (!New.empty() && Rounds > 0 && From != Source::Repair) {
    push(New, From, Rounds - 1);
  }
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
                          wire::ControlBody &Response) {
  // Only an operator's tool sends a push with all rounds remaining.
  const bool IsOrigin = Request.rounds() >= policy::PushRounds;
  const std::uint32_t Applied = apply(
      fromWire(Request.entries()), IsOrigin ? Source::Operator : Source::Peer,
      std::min(Request.rounds(), policy::PushRounds));
  Response.mutable_push_config_answer()->set_applied(Applied);
}

void ConfigRunner::onExchange(const wire::ExchangeDigestRequest &Request,
                              wire::ControlBody &Response) {
  wire::ExchangeDigestAnswer &Result =
      *Response.mutable_exchange_digest_answer();
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
    return;
  }
  std::vector<policy::KeyRevision> Revisions;
  for (const wire::KeyRevision &Entry : Request.revisions()) {
    Revisions.push_back({.Key = Entry.key(), .Revision = Entry.revision()});
  }
  policy::ConfigDiff Diff = policy::diff(Table, Revisions, Request.buckets());
  for (const policy::ConfigEntry &Entry : Diff.Newer) {
    *Result.add_newer() = toWire(Entry);
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
  Client.call(endpointOf(Other), std::move(Body),
              [this, Other](std::optional<wire::ControlBody> Response) {
                if (!Response || !Response->has_exchange_digest_answer()) {
                  return;
                }
                const std::uint64_t Differing =
                    Response->exchange_digest_answer().differing();
                if (Differing != 0) {
                  Queue.post([this, Other, Differing] {
                    exchangeRevisions(Other, Differing);
                  });
                }
              });
}

void ConfigRunner::push(std::span<const policy::ConfigEntry> Entries,
                        Source From, std::uint32_t Rounds) {
  // Each zone has its own watchers of the store, so only an operator's push has
  // to cross zones.
  const std::vector<policy::Member> Targets =
      policy::pushTargets(Membership.self(), Membership.members(),
                          {.Origin = From == Source::Operator}, Random);
  for (const policy::Member &Target : Targets) {
    wire::ControlBody Body;
    wire::PushConfigRequest &Request = *Body.mutable_push_config();
    Request.set_rounds(Rounds);
    for (const policy::ConfigEntry &Entry : Entries) {
      *Request.add_entries() = toWire(Entry);
    }
    Client.call(endpointOf(Target), std::move(Body),
                [](const std::optional<wire::ControlBody> &) {});
  }
}

void ConfigRunner::exchangeRevisions(const policy::Member &Other,
                                     std::uint64_t Buckets) {
  wire::ControlBody Body;
  wire::ExchangeDigestRequest &Request = *Body.mutable_exchange_digest();
  Request.set_buckets(Buckets);
  for (policy::KeyRevision &Held : policy::revisions(Table, Buckets)) {
    wire::KeyRevision &Entry = *Request.add_revisions();
    Entry.set_key(std::move(Held.Key));
    Entry.set_revision(Held.Revision);
  }
  Client.call(endpointOf(Other), std::move(Body),
              [this, Other](std::optional<wire::ControlBody> Response) {
                if (Response && Response->has_exchange_digest_answer()) {
                  Queue.post([this, Other, Response = *std::move(Response)] {
                    onExchangedEntries(Other, Response);
                  });
                }
              });
}

void ConfigRunner::onExchangedEntries(const policy::Member &Other,
                                      const wire::ControlBody &Response) {
  const wire::ExchangeDigestAnswer &Result = Response.exchange_digest_answer();
  apply(fromWire(Result.newer()), Source::Repair, 0);
  const std::vector<std::string> Wanted(Result.wanted().begin(),
                                        Result.wanted().end());
  const std::vector<policy::ConfigEntry> Missing =
      policy::missingFrom(Table, Wanted);
  if (Missing.empty()) {
    return;
  }
  wire::ControlBody Body;
  wire::PushConfigRequest &Request = *Body.mutable_push_config();
  Request.set_rounds(0);
  for (const policy::ConfigEntry &Entry : Missing) {
    *Request.add_entries() = toWire(Entry);
  }
  Client.call(endpointOf(Other), std::move(Body),
              [](const std::optional<wire::ControlBody> &) {});
}

} // namespace magnolia::daemon
