#include "ctl/change/accept.h"
#include "ctl/command/internal/commands.h"
#include "ctl/command/internal/plan_rollout.h"
#include "policy/rollout/advance.h"
#include "settings/record/format_record.h"
#include "settings/record/parse_record.h"
#include "settings/record/record_key.h"

#include <sstream>

namespace magnolia::ctl::internal {
namespace {

// The driver of a rollout writes a step every few seconds, so that the second
// attempt nearly always succeeds.
constexpr int MaxRollBackAttempts = 10;

ExitCode fail(Context &Run, const std::string &Key, const std::string &Reason,
              ExitCode Code = ExitCode::Failed) {
  Run.Out.line(Key + ": " + Reason);
  Run.Out.Document["error"] = Reason;
  return Code;
}

std::optional<settings::StoredRollout>
readRollout(Context &Run, const std::string &Key,
            std::optional<store::Entry> &Entry, ExitCode &Code) {
  Code = ExitCode::Failed;
  if (!readKey(Run, Key, Entry)) {
    return std::nullopt;
  }
  if (!Entry) {
    fail(Run, Key, "the service has no move");
    return std::nullopt;
  }
  policy::Error Error;
  auto Stored = settings::parseRollout(Entry->Value, Error);
  if (!Stored) {
    fail(Run, Key, Error.Detail);
  }
  return Stored;
}

std::string describe(const policy::RolloutRecord &Rollout,
                     policy::TimePoint Now) {
  std::ostringstream Text;
  Text << Rollout.FromVersion << " -> " << Rollout.ToVersion << ", "
       << settings::toString(Rollout.Phase) << ", share " << Rollout.Share;
  if (policy::hasEnded(Rollout)) {
    Text << ", " << Rollout.EndReason;
  } else {
    Text << ", deadline in "
         << std::chrono::floor<std::chrono::seconds>(Rollout.Deadline - Now)
                .count()
         << " s";
  }
  return Text.str();
}

// Makes one attempt to roll back. Returns Conflict if the driver of the rollout
// has written a step since Entry was read.
ChangeResult tryRollBack(Context &Run, const std::string &Key,
                         const store::Entry &Entry,
                         settings::StoredRollout Stored) {
  const std::string Reason = Run.Options.Reason.empty()
                                 ? "taken back by " + Run.Options.Operator
                                 : Run.Options.Reason;
  Stored.Rollout = *policy::rollBack(Stored.Rollout, Reason, Run.Now());
  Stored.OperationId = Run.NewOperationId();
  Stored.Driver = Run.Options.Operator;
  return accept(Run, {Key, Entry, settings::formatRollout(Stored),
                      Stored.OperationId, false});
}

} // namespace

ExitCode startRollout(Context &Run) {
  const std::string &Service = Run.Options.Arguments[0];
  const std::string Key = settings::rolloutKey(Service);
  policy::Error Error;
  const auto Deadline =
      settings::parseRolloutDeadline(Run.Options.Deadline, Error);
  if (!Deadline) {
    return fail(Run, Key, Error.Detail, ExitCode::Usage);
  }
  if (!settings::isName(Run.Options.From) ||
      !settings::isName(Run.Options.To) || Run.Options.From == Run.Options.To) {
    return fail(Run, Key, "--from and --to name two different versions",
                ExitCode::Usage);
  }
  std::optional<store::Entry> Existing;
  if (!readKey(Run, Key, Existing)) {
    return ExitCode::Failed;
  }
  const RolloutDecision Decision =
      planRollout(Run, Service, {Run.Options.From, Run.Options.To, *Deadline},
                  Existing, false);
  if (Decision.Code != ExitCode::Done) {
    return fail(Run, Key, Decision.Reason, Decision.Code);
  }
  if (!Decision.Start) {
    Run.Out.line(Key + ": unchanged: " + Decision.Reason);
    return propagate(Run, {*Existing});
  }
  const ChangeResult Result = accept(Run, *Decision.Start);
  return Result.Accepted ? propagate(Run, {*Result.Accepted}) : Result.Code;
}

ExitCode showRollout(Context &Run) {
  const std::string Key = settings::rolloutKey(Run.Options.Arguments[0]);
  std::optional<store::Entry> Entry;
  ExitCode Code = ExitCode::Failed;
  const auto Stored = readRollout(Run, Key, Entry, Code);
  if (!Stored) {
    return Code;
  }
  Run.Out.line(Key + ": revision " + std::to_string(Entry->ModRevision) + ": " +
               describe(Stored->Rollout, Run.Now()));
  Run.Out.Document["revision"] = Entry->ModRevision;
  Run.Out.Document["move"] = nlohmann::ordered_json::parse(Entry->Value);
  return ExitCode::Done;
}

ExitCode rollBackRollout(Context &Run) {
  const std::string Key = settings::rolloutKey(Run.Options.Arguments[0]);
  for (int Attempt = 0; Attempt < MaxRollBackAttempts; ++Attempt) {
    std::optional<store::Entry> Entry;
    ExitCode Code = ExitCode::Failed;
    auto Stored = readRollout(Run, Key, Entry, Code);
    if (!Stored) {
      return Code;
    }
    if (Stored->Rollout.Phase == policy::RolloutPhase::Done) {
      return fail(Run, Key,
                  "the move is completed and cannot be taken back; start a "
                  "move in the other direction",
                  ExitCode::Conflict);
    }
    if (Stored->Rollout.Phase == policy::RolloutPhase::RolledBack) {
      Run.Out.line(Key +
                   ": unchanged: " + describe(Stored->Rollout, Run.Now()));
      return propagate(Run, {*Entry});
    }
    const ChangeResult Result =
        tryRollBack(Run, Key, *Entry, std::move(*Stored));
    if (Result.Accepted) {
      return propagate(Run, {*Result.Accepted});
    }
    if (Result.Code != ExitCode::Conflict) {
      return Result.Code;
    }
    Run.Out.line(Key +
                 ": the driver wrote a step at the same time; trying again");
  }
  return fail(Run, Key, "the record changed at every attempt",
              ExitCode::Conflict);
}

} // namespace magnolia::ctl::internal
