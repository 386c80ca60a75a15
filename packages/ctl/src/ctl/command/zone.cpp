#include "ctl/change/accept.h"
#include "ctl/command/internal/commands.h"
#include "settings/record/format_record.h"
#include "settings/record/parse_record.h"
#include "settings/record/record_key.h"

#include <algorithm>
#include <set>

namespace magnolia::ctl::internal {
namespace {

std::uint64_t millisecondsOf(policy::TimePoint Time) {
  return static_cast<std::uint64_t>(
      std::chrono::floor<std::chrono::milliseconds>(Time.time_since_epoch())
          .count());
}

// Warns about a zone without members, because its name is probably misspelt.
void warnIfUnknown(Context &Run, const std::string &Zone) {
  wire::ControlBody Request;
  Request.set_method("status");
  Request.mutable_status();
  for (const settings::HostPort &Node : Run.Options.Nodes) {
    policy::Error Ignored;
    const auto Response =
        Run.CallNode(Node, Request, Run.Options.Timeout, Ignored);
    if (!Response || !Response->has_status_answer()) {
      continue;
    }
    std::set<std::string> Zones;
    for (const wire::MemberRecord &Member :
         Response->status_answer().members()) {
      Zones.insert(Member.zone());
    }
    if (Zones.count(Zone) == 0) {
      std::string Text = "warning: no member is in zone " + Zone + "; zones:";
      for (const std::string &Known : Zones) {
        Text.append(" ").append(Known);
      }
      Run.Out.line(Text);
    }
    return;
  }
}

std::string stateOf(bool Out) { return Out ? "out of service" : "in service"; }

// Returns true if the zone is already in the requested state.
bool isUnchanged(Context &Run, const std::optional<store::Entry> &Before,
                 const std::string &Key, bool Out) {
  if (!Before) {
    if (!Out) {
      Run.Out.line(Key + ": unchanged: in service");
    }
    return !Out;
  }
  policy::Error Error;
  const auto Zone = settings::parseZone(Before->Value, Error);
  if (!Zone || Zone->Out != Out) {
    return false;
  }
  Run.Out.line(Key + ": unchanged: " + stateOf(Out) + " since " +
               std::to_string(Zone->SinceMs) + " ms, by " + Zone->Operator);
  return true;
}

} // namespace

ExitCode setZone(Context &Run, bool Out) {
  const std::string &Name = Run.Options.Arguments[0];
  const std::string Key = settings::zoneKey(Name);
  std::optional<store::Entry> Before;
  if (!readKey(Run, Key, Before)) {
    return ExitCode::Failed;
  }
  if (isUnchanged(Run, Before, Key, Out)) {
    addResult(Run, Key, "unchanged", Before ? Before->ModRevision : 0, {});
    return Before ? propagate(Run, {*Before}) : ExitCode::Done;
  }
  warnIfUnknown(Run, Name);
  const settings::ZoneRecord Zone{.Zone = Name,
                                  .Out = Out,
                                  .SinceMs = millisecondsOf(Run.Now()),
                                  .OperationId = Run.NewOperationId(),
                                  .Operator = Run.Options.Operator};
  const ChangeResult Result =
      accept(Run, {Key, Before, settings::formatZone(Zone), Zone.OperationId});
  return Result.Accepted ? propagate(Run, {*Result.Accepted}) : Result.Code;
}

} // namespace magnolia::ctl::internal
