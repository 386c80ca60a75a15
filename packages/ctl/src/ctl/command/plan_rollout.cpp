#include "ctl/command/internal/plan_rollout.h"

#include "settings/record/format_record.h"
#include "settings/record/parse_record.h"
#include "settings/record/record_key.h"

#include <utility>

namespace magnolia::ctl::internal {
namespace {

RolloutDecision none(ExitCode Code, std::string Reason) {
  return {Code, {}, std::move(Reason)};
}

std::string versions(const policy::RolloutRecord &Rollout) {
  return Rollout.FromVersion + " -> " + Rollout.ToVersion;
}

// Returns a decision if the existing record rules out a start.
std::optional<RolloutDecision>
checkExisting(const policy::RolloutRecord &Rollout,
              const settings::RolloutPlan &Plan, bool Published) {
  const bool Same =
      Rollout.FromVersion == Plan.From && Rollout.ToVersion == Plan.To;
  if (!policy::hasEnded(Rollout)) {
    return Same ? none(ExitCode::Done,
                       "the move " + versions(Rollout) + " is in progress")
                : none(ExitCode::Conflict,
                       "another move is in progress: " + versions(Rollout) +
                           "; wait for its end or take it back first");
  }
  if (!Same || !Published) {
    return std::nullopt;
  }
  return Rollout.Phase == policy::RolloutPhase::Done
             ? none(ExitCode::Done,
                    "the move " + versions(Rollout) + " is completed")
             : none(ExitCode::Failed,
                    "the move " + versions(Rollout) +
                        " was taken back: " + Rollout.EndReason +
                        "; start it again with magnoliactl move start");
}

std::optional<RolloutDecision> checkDeadline(policy::TimePoint Deadline,
                                             policy::TimePoint Now) {
  const auto Seconds = [](policy::Duration Time) {
    return std::to_string(
        std::chrono::ceil<std::chrono::seconds>(Time).count());
  };
  if (Deadline >= Now + settings::shortestRollout() &&
      Deadline <= Now + settings::LongestRollout) {
    return std::nullopt;
  }
  return none(ExitCode::Failed,
              "the deadline is in " + Seconds(Deadline - Now) +
                  " s; expected " + Seconds(settings::shortestRollout()) +
                  " s to " + Seconds(settings::LongestRollout) +
                  " s from now, so that the move can end");
}

} // namespace

RolloutDecision planRollout(Context &Run, const std::string &Service,
                            const settings::RolloutPlan &Plan,
                            const std::optional<store::Entry> &Existing,
                            bool Published) {
  policy::Error Error;
  const auto Stored =
      Existing ? settings::parseRollout(Existing->Value, Error) : std::nullopt;
  if (Existing && !Stored) {
    return none(ExitCode::Failed,
                "the record in the store is not readable: " + Error.Detail);
  }
  if (Stored) {
    if (auto Decision = checkExisting(Stored->Rollout, Plan, Published)) {
      return std::move(*Decision);
    }
  }
  const policy::TimePoint Now = Run.Now();
  settings::StoredRollout Next;
  Next.Rollout.Service = Service;
  Next.Rollout.FromVersion = Plan.From;
  Next.Rollout.ToVersion = Plan.To;
  Next.Rollout.Start = Now;
  Next.Rollout.StepSince = Now;
  Next.Rollout.Deadline = settings::deadlineAt(Plan.Deadline, Now);
  if (auto Decision = checkDeadline(Next.Rollout.Deadline, Now)) {
    return std::move(*Decision);
  }
  Next.OperationId = Run.NewOperationId();
  Next.Rollout.Id = Next.OperationId;
  Next.Driver = Run.Options.Operator;
  return {ExitCode::Done,
          Change{settings::rolloutKey(Service), Existing,
                 settings::formatRollout(Next), Next.OperationId},
          {}};
}

} // namespace magnolia::ctl::internal
