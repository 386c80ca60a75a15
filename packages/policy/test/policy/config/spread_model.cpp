#include "spread_model.h"
#include "spread_model_calls.h"

#include "policy/config/apply.h"
#include "policy/config/exchange.h"
#include "policy/config/fetch.h"
#include "policy/config/history.h"
#include "policy/config/patch.h"
#include "policy/config/push_targets.h"
#include "policy/config/send_form.h"
#include "policy/core/error.h"
#include "policy/fleet/repair.h"

#include <algorithm>
#include <chrono>
#include <memory>
#include <span>
#include <string>
#include <utility>

namespace magnolia::policy::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using Index = std::size_t;

constexpr std::size_t NoticeBytes = 40;
constexpr Duration CallTimeout = milliseconds(2'000);
constexpr Duration GossipPeriod = milliseconds(200);
constexpr Duration TickPeriod = milliseconds(50);
// Processor time of an ordinary node for each byte of a value that comes into
// effect.
constexpr Duration ApplyByteCost = nanoseconds(30);

const ConfigEntry &heldBy(const SpreadModel &Model, Index Node) {
  return Model.Nodes[Node].Table.Entries.at(ModelKey);
}

KeyRevision noticeOf(const SpreadModel &Model, Index Node) {
  const ConfigEntry &Held = heldBy(Model, Node);
  return {
      .Key = Held.Key, .Revision = Held.Revision, .Bytes = Held.Value.size()};
}

void startFetches(SpreadModel &Model, Index Node);
void push(SpreadModel &Model, Index Node, std::uint32_t Rounds);

void hear(SpreadModel &Model, Index Node, Index From, const KeyRevision &Held,
          std::uint32_t Rounds) {
  ModelNode &Own = Model.Nodes[Node];
  learn(Own.Fetches, Own.Table,
        {.Held = Held, .From = Model.Fleet[From].Node, .Rounds = Rounds},
        Model.Now);
}

// Takes the new value into effect, and pushes it then.
void takeEffect(SpreadModel &Model, Index Node, std::uint32_t Rounds) {
  process(Model, Node,
          ApplyByteCost *
              static_cast<std::int64_t>(heldBy(Model, Node).Value.size()),
          [&Model, Node, Rounds] {
            if (Rounds > 0) {
              push(Model, Node, Rounds - 1);
            }
          });
}

void receiveValue(SpreadModel &Model, Index Node, const ConfigEntry &Entry,
                  std::uint32_t Rounds) {
  if (apply(Model.Nodes[Node].Table, Entry)) {
    takeEffect(Model, Node, Rounds);
  }
}

PatchOutcome receivePatches(SpreadModel &Model, Index Node,
                            std::span<const ValuePatch> Patches,
                            std::uint32_t Rounds) {
  Error LastError;
  PatchOutcome Outcome = PatchOutcome::Known;
  bool Changed = false;
  for (const ValuePatch &Patch : Patches) {
    Outcome = apply(Model.Nodes[Node].Table, Patch, LastError);
    Changed = Changed || Outcome == PatchOutcome::Applied;
  }
  if (Changed) {
    takeEffect(Model, Node, Rounds);
  }
  return Outcome;
}

Index indexOf(const SpreadModel &Model, NodeId Node) {
  return static_cast<Index>(
      std::find_if(Model.Fleet.begin(), Model.Fleet.end(),
                   [&](const Member &Record) { return Record.Node == Node; }) -
      Model.Fleet.begin());
}

void push(SpreadModel &Model, Index Node, std::uint32_t Rounds) {
  const ConfigEntry Held = heldBy(Model, Node);
  const ConfigTable &Table = Model.Nodes[Node].Table;
  const SendForm Form =
      Model.Way == Transfer::Whole ? SendForm::Value : pushForm(Table, Held);
  std::vector<ValuePatch> Patches;
  std::size_t Bytes = NoticeBytes;
  if (Form == SendForm::Patches) {
    Patches = {Table.Histories.at(ModelKey).Patches.back()};
    Bytes = bytesOf(Patches[0]);
  } else if (Form == SendForm::Value) {
    Bytes = Held.Value.size();
  }
  const KeyRevision Notice = noticeOf(Model, Node);
  for (const Member &Target :
       pushTargets(Model.Fleet[Node], Model.Fleet, {}, Model.Random)) {
    const Index To = indexOf(Model, Target.Node);
    call(Model, Node, To, Bytes, CallTimeout, [=, &Model]() -> Response {
      if (Form == SendForm::Value) {
        receiveValue(Model, To, Held, Rounds);
        return {};
      }
      receivePatches(Model, To, Patches, Rounds);
      hear(Model, To, Node, Notice, Rounds);
      startFetches(Model, To);
      return {};
    });
  }
}

void endOf(SpreadModel &Model, Index Node, const FetchCall &Call,
           FetchOutcome Outcome, Duration RetryAfter = {}) {
  ModelNode &Own = Model.Nodes[Node];
  endFetch(Own.Fetches, Own.Table, Call, Outcome, RetryAfter, Model.Now);
  startFetches(Model, Node);
}

Response serveFetch(SpreadModel &Model, Index Server, Index Node,
                    const FetchCall &Call) {
  ModelNode &Own = Model.Nodes[Server];
  const ConfigEntry Held = heldBy(Model, Server);
  const auto Ends = [&Model, Node, Call](FetchOutcome Outcome, Duration Wait) {
    return [&Model, Node, Call, Outcome, Wait] {
      endOf(Model, Node, Call, Outcome, Wait);
    };
  };
  const std::uint32_t Rounds = roundsOf(Model.Nodes[Node].Fetches, Call.Key);
  switch (fetchForm(Own.Table, Call.Key, Call.HeldRevision)) {
  case SendForm::Nothing:
  case SendForm::Notice:
    return {.Bytes = 0, .OnArrival = Ends(FetchOutcome::Nothing, {})};
  case SendForm::Patches: {
    const auto Missing = patchesSince(Own.Table, Call.Key, Call.HeldRevision);
    std::vector<ValuePatch> Patches(Missing.begin(), Missing.end());
    std::size_t Bytes = 0;
    for (const ValuePatch &Patch : Patches) {
      Bytes += bytesOf(Patch);
    }
    return {.Bytes = Bytes, .OnArrival = [=, &Model] {
              const PatchOutcome Outcome =
                  receivePatches(Model, Node, Patches, Rounds);
              endOf(Model, Node, Call,
                    Outcome == PatchOutcome::Misfit ? FetchOutcome::Misfit
                                                    : FetchOutcome::Arrived);
            }};
  }
  case SendForm::Value:
    break;
  }
  const Duration Wait = takeSend(Own.Pace, Held.Value.size(), Model.Now);
  if (Wait > Duration::zero()) {
    return {.Bytes = 0, .OnArrival = Ends(FetchOutcome::Postponed, Wait)};
  }
  return {.Bytes = Held.Value.size(), .OnArrival = [=, &Model] {
            receiveValue(Model, Node, Held, Rounds);
            endOf(Model, Node, Call, FetchOutcome::Arrived);
          }};
}

void startFetches(SpreadModel &Model, Index Node) {
  ModelNode &Own = Model.Nodes[Node];
  for (const FetchCall &Call : takeFetches(
           Own.Fetches, Own.Table, [](NodeId) { return true; }, Model.Now,
           Model.Random)) {
    const Index Server = indexOf(Model, Call.From);
    call(
        Model, Node, Server, NoticeBytes, Call.Timeout,
        [&Model, Server, Node, Call] {
          return serveFetch(Model, Server, Node, Call);
        },
        [&Model, Node, Call] {
          endOf(Model, Node, Call, FetchOutcome::Failed);
        });
  }
}

// The second call of an exchange, in which both sides transfer what the other
// one lacks.
void exchangeRevisions(SpreadModel &Model, Index Node, Index Other) {
  const KeyRevision Mine = noticeOf(Model, Node);
  call(Model, Node, Other, NoticeBytes, CallTimeout, [=, &Model]() -> Response {
    const ConfigEntry Theirs = heldBy(Model, Other);
    const bool Whole = Model.Way == Transfer::Whole;
    const std::size_t Bytes = Whole && Theirs.Revision > Mine.Revision
                                  ? Theirs.Value.size()
                                  : NoticeBytes;
    return {.Bytes = Bytes, .OnArrival = [=, &Model] {
              if (Whole) {
                receiveValue(Model, Node, Theirs, 0);
              }
              const ConfigEntry Own = heldBy(Model, Node);
              if (Theirs.Revision >= Own.Revision || !Whole) {
                return;
              }
              call(Model, Node, Other, Own.Value.size(), CallTimeout,
                   [=, &Model]() -> Response {
                     receiveValue(Model, Other, Own, 0);
                     return {};
                   });
            }};
  });
}

// Receives a gossip message with the digest of another node.
void compareDigests(SpreadModel &Model, Index Node, Index Other) {
  ModelNode &Own = Model.Nodes[Node];
  if (digest(Own.Table) == digest(Model.Nodes[Other].Table) ||
      !takeRepair(Own.Repair, Own.Table, Model.Now)) {
    return;
  }
  const KeyRevision Mine = noticeOf(Model, Node);
  call(Model, Node, Other,
       ConfigDigest::BucketCount * sizeof(std::uint64_t) + NoticeBytes,
       CallTimeout, [=, &Model]() -> Response {
         if (Model.Way == Transfer::Fetched) {
           hear(Model, Other, Node, Mine, 0);
           startFetches(Model, Other);
         }
         const KeyRevision Theirs = noticeOf(Model, Other);
         return {.Bytes = NoticeBytes, .OnArrival = [=, &Model] {
                   if (Model.Way == Transfer::Fetched) {
                     hear(Model, Node, Other, Theirs, 0);
                     startFetches(Model, Node);
                   }
                   exchangeRevisions(Model, Node, Other);
                 }};
       });
}

void gossip(SpreadModel &Model, Index Node) {
  at(Model, Model.Now + GossipPeriod, [&Model, Node] { gossip(Model, Node); });
  const Index Other = Model.Random() % Model.Nodes.size();
  if (Other != Node && !Model.Nodes[Node].Stopped &&
      !Model.Nodes[Other].Stopped) {
    compareDigests(Model, Other, Node);
  }
}

void tick(SpreadModel &Model, Index Node) {
  at(Model, Model.Now + TickPeriod, [&Model, Node] { tick(Model, Node); });
  if (!Model.Nodes[Node].Stopped) {
    startFetches(Model, Node);
  }
}

} // namespace

SpreadModel makeModel(Transfer Way, std::size_t Zones, std::size_t PerZone,
                      const ConfigEntry &Held, std::uint64_t Seed) {
  SpreadModel Model;
  Model.Way = Way;
  Model.Random.seed(Seed);
  for (Index I = 0; I < Zones * PerZone; ++I) {
    Member Record;
    Record.Node = hashOf(std::to_string(I));
    Record.Zone = "zone-" + std::to_string(I / PerZone);
    Model.Fleet.push_back(Record);
    apply(Model.Nodes.emplace_back().Table, Held);
  }
  return Model;
}

void startTimers(SpreadModel &Model) {
  for (Index I = 0; I < Model.Nodes.size(); ++I) {
    at(Model, Model.Now + milliseconds(Model.Random() % 200),
       [&Model, I] { gossip(Model, I); });
    at(Model, Model.Now + milliseconds(Model.Random() % 50),
       [&Model, I] { tick(Model, I); });
  }
}

void readByWatchers(SpreadModel &Model, const ConfigEntry &Entry) {
  for (const Member &Watcher : watchersOf(Model.Fleet)) {
    receiveValue(Model, indexOf(Model, Watcher.Node), Entry, PushRounds);
  }
}

std::size_t behind(const SpreadModel &Model, std::uint64_t Revision) {
  return static_cast<std::size_t>(std::count_if(
      Model.Nodes.begin(), Model.Nodes.end(), [&](const ModelNode &Node) {
        return !Node.Stopped &&
               Node.Table.Entries.at(ModelKey).Revision < Revision;
      }));
}

void runFor(SpreadModel &Model, Duration Time) {
  runUntilAllHold(Model, ~std::uint64_t{0}, Time);
}

Duration runUntilAllHold(SpreadModel &Model, std::uint64_t Revision,
                         Duration Limit) {
  const TimePoint Start = Model.Now;
  while (behind(Model, Revision) != 0 && !Model.Events.empty() &&
         Model.Events.begin()->first <= Start + Limit) {
    const auto Item = Model.Events.extract(Model.Events.begin());
    Model.Now = std::max(Model.Now, Item.key());
    Item.mapped()();
  }
  if (behind(Model, Revision) != 0) {
    Model.Now = Start + Limit;
  }
  return Model.Now - Start;
}

} // namespace magnolia::policy::test
