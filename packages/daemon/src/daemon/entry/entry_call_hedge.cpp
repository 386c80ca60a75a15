#include "daemon/entry/entry_call.h"

#include "daemon/net/clock.h"
#include "policy/hedge/copy_action.h"
#include "policy/hedge/decide_hedge.h"
#include "policy/retry/plan_next.h"
#include "policy/route/feedback.h"

#include <utility>

// Second copies of slow requests.

namespace magnolia::daemon {

using policy::HedgeRefusal;

namespace {

// Returns the versions that may receive a hedge; empty if any may. During a
// rollout only the old version may, because a hedge would raise the share of
// the new one.
std::vector<std::uint32_t> hedgeVersions(ServiceRuntime &Runtime,
                                         const ShareOverrides &Overrides) {
  if (!Runtime.View->RolloutId.empty()) {
    return {Runtime.Versions.indexOf(Runtime.View->OldVersion)};
  }
  std::vector<std::uint32_t> Versions;
  for (const policy::VersionShare &Entry : versionShares(Runtime, Overrides)) {
    Versions.push_back(Entry.Version);
  }
  return Versions;
}

} // namespace

std::string_view EntryCall::hedgeRoute() const {
  return Call.Request.Route.empty() ? Call.Route : Call.Request.Route;
}

void EntryCall::setHedgeTime(const Attempt &Current, policy::TimePoint Now) {
  ServiceRuntime &Runtime = *Call.Runtime;
  const policy::HedgeOptions Options = Owner.hedgeOptions();
  const auto OfService = Runtime.View->HedgePercent;
  HedgePercent =
      static_cast<std::uint32_t>(OfService.value_or(Options.Percent));
  if (HedgePercent == 0) {
    if (!HedgeAt && Call.MayHedge && !OfService && State.Idempotent &&
        Runtime.Route.Median.count() > 0) {
      // The median excludes the network latency to the candidate's zone.
      HedgeAt =
          Now + Current.Distance + policy::hedgeDelay(Runtime.Route.Median);
    }
    return;
  }
  if (State.Attempts == 0) {
    policy::recordHedgeRequest(Runtime.Hedges, HedgePercent);
  }
  if (!State.Idempotent || Hedged) {
    return;
  }
  HedgeAt.reset();
  if (const auto Delay =
          policy::hedgeDelay(Runtime.Hedges, hedgeRoute(), Options, Now)) {
    HedgeDelay = *Delay;
    HedgeAt = Now + Current.Distance + *Delay;
  }
}

void EntryCall::handleSlow(policy::TimePoint Now) {
  if (HedgePercent == 0) {
    resolve({.Event = policy::OutcomeEvent::Slow}, nullptr);
    return;
  }
  // One decision per request.
  HedgeAt = policy::TimePoint::max();
  if (Hedged || InFlight.size() != 1 || keyRefusal()) {
    return;
  }
  std::optional<Attempt> Copy = makeHedge(Now);
  if (!Copy) {
    return;
  }
  Owner.Use.Counts.count(Counter::Hedges);
  if (const auto Ended = launch(std::move(*Copy))) {
    resolve(*Ended, nullptr);
  }
}

std::optional<EntryCall::Attempt> EntryCall::makeHedge(policy::TimePoint Now) {
  ServiceRuntime &Runtime = *Call.Runtime;
  const std::lock_guard Lock(Runtime.Mutex);
  const auto Versions = hedgeVersions(Runtime, Owner.Use.Overrides);
  policy::onReport(Runtime.Route, Owner.Options.Node, Owner.Use.Own.load(),
                   Now);
  const policy::HedgeDecision Decision =
      policy::decideHedge(Runtime.Hedges, Runtime.Route, State, Runtime.Retries,
                          {.Route = hedgeRoute(),
                           .Stopping = Owner.stop().has_value(),
                           .Tried = Tried,
                           .Versions = Versions},
                          Now, threadEngine());
  if (Decision.Refusal != HedgeRefusal::None) {
    Owner.Use.Counts.count(Decision.Refusal == HedgeRefusal::Limit
                               ? Counter::HedgesOverLimit
                               : Counter::HedgesRefused);
    return std::nullopt;
  }
  Attempt Copy = makeAttempt(Decision.Target, Now);
  Copy.IsHedge = true;
  // A slow or full sidecar may reject the copy, because the first one is open.
  Copy.HasChoice = true;
  Hedged = {.Delay = Now - InFlight.front().Sent.Start,
            .Target = Decision.Target,
            .Room = Decision.Room};
  return Copy;
}

void EntryCall::recordHedgeSample(const Attempt &First, policy::TimePoint Now) {
  if (HedgePercent == 0 || First.IsHedge || !State.Idempotent) {
    return;
  }
  const bool Early =
      HedgeAt && Now < *HedgeAt && *HedgeAt != policy::TimePoint::max();
  const std::lock_guard Lock(Call.Runtime->Mutex);
  policy::recordHedgeTime(Call.Runtime->Hedges, hedgeRoute(),
                          Now - First.Sent.Start - First.Distance, Early, Now);
}

void EntryCall::acceptResponse(const Attempt &From, CallResponse Response,
                               bool Faulty) {
  const auto Open = static_cast<std::uint32_t>(InFlight.size());
  if (policy::onCopyResponse(Hedged.has_value(), Faulty, Open) ==
      policy::CopyAction::Hold) {
    Held = std::move(Response);
    return;
  }
  if (From.IsHedge && !Faulty) {
    endHedge("won");
  }
  Owner.Use.Counts.count(Counter::Responses);
  Result = std::move(Response);
}

void EntryCall::endHedge(std::string_view Ending) {
  Owner.Use.Counts.count(Ending == "won" ? Counter::HedgesWon
                                         : Counter::HedgesCancelled);
  Hedged->Ending = Ending;
}

} // namespace magnolia::daemon
