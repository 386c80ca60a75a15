#include "daemon/control/clock.h"
#include "daemon/control/config_codec.h"
#include "daemon/control/config_keys.h"
#include "daemon/control/config_runner.h"
#include "daemon/control/membership_runner.h"
#include "daemon/log/log.h"
#include "policy/config/apply.h"
#include "policy/config/fetch.h"
#include "policy/config/history.h"
#include "policy/config/send_form.h"
#include "policy/core/error.h"

#include <algorithm>
#include <chrono>
#include <wire/control.pb.h>

namespace magnolia::daemon {

policy::PatchOutcome
ConfigRunner::applyPatches(std::span<const wire::ValuePatch *const> Patches,
                           Source From, std::uint32_t Rounds) {
  policy::PatchOutcome Outcome = policy::PatchOutcome::Known;
  std::string Changed;
  for (const wire::ValuePatch *const Sent : Patches) {
    policy::Error LastError = {policy::ErrorKind::BadRequest,
                               "the patch has too many steps"};
    const std::optional<policy::ValuePatch> Patch = fromWire(*Sent);
    Outcome = Patch && isConfigKey(Patch->Key)
                  ? policy::apply(Table, *Patch, LastError)
                  : policy::PatchOutcome::Misfit;
    if (Outcome == policy::PatchOutcome::Applied) {
      ++Traffic->PatchesApplied;
      Changed = Patch->Key;
    } else if (Outcome == policy::PatchOutcome::OtherBase) {
      ++Traffic->PatchesMisfit;
    } else if (Outcome == policy::PatchOutcome::Misfit) {
      ++Traffic->PatchesMisfit;
      log(LogLevel::Warning, "configuration patch does not fit",
          {{"key", std::string_view(Sent->key())},
           {"revision", Sent->revision()},
           {"base_revision", Sent->base_revision()},
           {"reason", std::string_view(LastError.Detail)}});
      break;
    }
  }
  if (const policy::ConfigEntry *const Entry = policy::find(Table, Changed)) {
    OnEntry(*Entry, From);
    forward(std::span(&Changed, 1), From, Rounds);
  }
  return Outcome;
}

void ConfigRunner::onFetch(const wire::FetchConfigRequest &Request,
                           wire::ControlBody &Response) {
  Traffic->BytesReceived += Request.ByteSizeLong();
  wire::FetchConfigAnswer &Result = *Response.mutable_fetch_config_answer();
  switch (policy::fetchForm(Table, Request.key(), Request.held_revision())) {
  case policy::SendForm::Nothing:
  case policy::SendForm::Notice:
    break;
  case policy::SendForm::Patches:
    for (const policy::ValuePatch &Patch :
         policy::patchesSince(Table, Request.key(), Request.held_revision())) {
      *Result.add_patches() = toWire(Patch);
    }
    break;
  case policy::SendForm::Value: {
    const policy::ConfigEntry &Entry = Table.Entries.at(Request.key());
    const policy::Duration Wait =
        policy::isLarge(Entry)
            ? policy::takeSend(Pace, Entry.Value.size(), steadyNow())
            : policy::Duration::zero();
    if (Wait > policy::Duration::zero()) {
      Result.set_retry_after_ms(static_cast<std::uint32_t>(
          std::chrono::ceil<std::chrono::milliseconds>(Wait).count()));
    } else {
      *Result.mutable_entry() = toWire(Entry);
    }
    break;
  }
  }
  Traffic->BytesSent += Result.ByteSizeLong();
}

void ConfigRunner::tick(policy::TimePoint Now) { startFetches(Now); }

bool ConfigRunner::isOutdated(std::string_view Key) const {
  return policy::isOutdated(Fetches, Table, Key);
}

void ConfigRunner::learn(const wire::KeyRevision &Held, policy::NodeId From,
                         std::uint32_t Rounds) {
  if (isConfigKey(Held.key())) {
    policy::learn(Fetches, Table,
                  {.Held = fromWire(Held), .From = From, .Rounds = Rounds},
                  steadyNow());
  }
}

void ConfigRunner::startFetches(policy::TimePoint Now) {
  const std::vector<policy::FetchCall> Calls = policy::takeFetches(
      Fetches, Table,
      [this](policy::NodeId Node) { return liveMember(Node) != nullptr; }, Now,
      Random);
  for (const policy::FetchCall &Call : Calls) {
    wire::ControlBody Body;
    wire::FetchConfigRequest &Request = *Body.mutable_fetch_config();
    Request.set_key(Call.Key);
    Request.set_held_revision(Call.HeldRevision);
    send(
        *liveMember(Call.From), std::move(Body),
        [this, Call](const wire::ControlBody *Response) {
          onFetched(Call, Response);
        },
        Call.Timeout);
  }
  Traffic->FetchesStarted = Fetches.Started;
  Traffic->FetchesFailed = Fetches.Failed;
  Traffic->FetchesPostponed = Fetches.Postponed;
}

void ConfigRunner::onFetched(const policy::FetchCall &Call,
                             const wire::ControlBody *Response) {
  policy::FetchOutcome Outcome = policy::FetchOutcome::Failed;
  policy::Duration RetryAfter{};
  if (Response != nullptr && Response->has_fetch_config_answer()) {
    const wire::FetchConfigAnswer &Fetched = Response->fetch_config_answer();
    RetryAfter = std::min<policy::Duration>(
        std::chrono::milliseconds(Fetched.retry_after_ms()),
        Fetches.Options.MaxTimeout);
    Outcome = applyFetched(Call, Fetched);
  }
  const policy::TimePoint Now = steadyNow();
  policy::endFetch(Fetches, Table, Call, Outcome, RetryAfter, Now);
  startFetches(Now);
}

policy::FetchOutcome
ConfigRunner::applyFetched(const policy::FetchCall &Call,
                           const wire::FetchConfigAnswer &Fetched) {
  const std::uint32_t Rounds = policy::roundsOf(Fetches, Call.Key);
  const Source From = Rounds > 0 ? Source::Peer : Source::Repair;
  if (Fetched.retry_after_ms() != 0) {
    return policy::FetchOutcome::Postponed;
  }
  if (Fetched.has_entry() && Fetched.entry().key() == Call.Key) {
    const policy::ConfigEntry Entry = fromWire(Fetched.entry());
    apply(std::span(&Entry, 1), From, Rounds);
    const auto Held = Table.Entries.find(Call.Key);
    return Held != Table.Entries.end() &&
                   Held->second.Revision >= Entry.Revision
               ? policy::FetchOutcome::Arrived
               : policy::FetchOutcome::Refused;
  }
  if (Fetched.patches_size() == 0) {
    return policy::FetchOutcome::Nothing;
  }
  std::vector<const wire::ValuePatch *> Patches;
  for (const wire::ValuePatch &Patch : Fetched.patches()) {
    if (Patch.key() == Call.Key) {
      Patches.push_back(&Patch);
    }
  }
  return applyPatches(Patches, From, Rounds) == policy::PatchOutcome::Misfit
             ? policy::FetchOutcome::Misfit
             : policy::FetchOutcome::Arrived;
}

const policy::Member *ConfigRunner::liveMember(policy::NodeId Node) const {
  const policy::Member *const Found = Membership.find(Node);
  return Found != nullptr && policy::isLive(*Found) ? Found : nullptr;
}

} // namespace magnolia::daemon
