#include "ctl/command/internal/plan_move.h"

#include "settings/record/format_record.h"
#include "settings/record/parse_record.h"
#include "settings/record/record_key.h"

#include <utility>

namespace magnolia::ctl::internal {
namespace {

MoveDecision none(ExitCode Code, std::string Reason) {
  return {Code, {}, std::move(Reason)};
}

std::string versions(const policy::MoveRecord &Move) {
  return Move.FromVersion + " -> " + Move.ToVersion;
}

// Returns a decision if the existing record rules out a start.
std::optional<MoveDecision> checkExisting(const policy::MoveRecord &Move,
                                          const settings::MovePlan &Plan,
                                          bool Published) {
  const bool Same = Move.FromVersion == Plan.From && Move.ToVersion == Plan.To;
  if (!policy::hasEnded(Move)) {
    return Same ? none(ExitCode::Done,
                       "the move " + versions(Move) + " is in progress")
                : none(ExitCode::Conflict,
                       "another move is in progress: " + versions(Move) +
                           "; wait for its end or take it back first");
  }
  if (!Same || !Published) {
    return std::nullopt;
  }
  return Move.Phase == policy::MovePhase::Done
             ? none(ExitCode::Done,
                    "the move " + versions(Move) + " is completed")
             : none(ExitCode::Failed,
                    "the move " + versions(Move) +
                        " was taken back: " + Move.EndReason +
                        "; start it again with magnoliactl move start");
}

std::optional<MoveDecision> checkDeadline(policy::TimePoint Deadline,
                                          policy::TimePoint Now) {
  const auto Seconds = [](policy::Duration Time) {
    return std::to_string(
        std::chrono::ceil<std::chrono::seconds>(Time).count());
  };
  if (Deadline >= Now + settings::shortestMove() &&
      Deadline <= Now + settings::LongestMove) {
    return std::nullopt;
  }
  return none(ExitCode::Failed, "the deadline is in " +
                                    Seconds(Deadline - Now) + " s; expected " +
                                    Seconds(settings::shortestMove()) +
                                    " s to " + Seconds(settings::LongestMove) +
                                    " s from now, so that the move can end");
}

} // namespace

MoveDecision planMove(Context &Run, const std::string &Service,
                      const settings::MovePlan &Plan,
                      const std::optional<store::Entry> &Existing,
                      bool Published) {
  policy::Error Error;
  const auto Stored =
      Existing ? settings::parseMove(Existing->Value, Error) : std::nullopt;
  if (Existing && !Stored) {
    return none(ExitCode::Failed,
                "the record in the store is not readable: " + Error.Detail);
  }
  if (Stored) {
    if (auto Decision = checkExisting(Stored->Move, Plan, Published)) {
      return std::move(*Decision);
    }
  }
  const policy::TimePoint Now = Run.Now();
  settings::StoredMove Next;
  Next.Move.Service = Service;
  Next.Move.FromVersion = Plan.From;
  Next.Move.ToVersion = Plan.To;
  Next.Move.Start = Now;
  Next.Move.StepSince = Now;
  Next.Move.Deadline = settings::deadlineAt(Plan.Deadline, Now);
  if (auto Decision = checkDeadline(Next.Move.Deadline, Now)) {
    return std::move(*Decision);
  }
  Next.OperationId = Run.NewOperationId();
  Next.Move.Id = Next.OperationId;
  Next.Driver = Run.Options.Operator;
  return {ExitCode::Done,
          Change{settings::moveKey(Service), Existing,
                 settings::formatMove(Next), Next.OperationId},
          {}};
}

} // namespace magnolia::ctl::internal
