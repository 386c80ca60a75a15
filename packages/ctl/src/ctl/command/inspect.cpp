#include "ctl/change/accept.h"
#include "ctl/command/internal/commands.h"
#include "ctl/node/in_effect.h"
#include "settings/record/record_key.h"

#include <algorithm>
#include <array>
#include <string>

namespace magnolia::ctl::internal {
namespace {

using Json = nlohmann::ordered_json;

// Sends the request to every node of the command line and passes each response
// to the handler. A node that does not respond is reported and makes the
// command fail.
template <typename Handle>
ExitCode askAll(Context &Run, const wire::ControlBody &Request,
                Handle &&OnResponse) {
  ExitCode Code = ExitCode::Done;
  for (const settings::HostPort &Node : Run.Options.Nodes) {
    policy::Error Error;
    const auto Response =
        Run.CallNode(Node, Request, Run.Options.Timeout, Error);
    if (Response && OnResponse(toString(Node), *Response)) {
      continue;
    }
    const std::string Reason =
        Response ? "node " + toString(Node) + ": unexpected response"
                 : Error.Detail;
    Run.Out.line("error: " + Reason);
    Run.Out.Document["errors"].push_back(Reason);
    Code = ExitCode::Failed;
  }
  return Code;
}

std::string nameOf(wire::MemberState State) {
  switch (State) {
  case wire::MEMBER_ALIVE:
    return "alive";
  case wire::MEMBER_SUSPECT:
    return "suspect";
  case wire::MEMBER_UNREACHABLE:
    return "unreachable";
  case wire::MEMBER_LEFT:
    return "left";
  default:
    return "unknown";
  }
}

Json toJson(const wire::StatusAnswer &Status) {
  Json Keys = Json::object();
  for (const wire::KeyStatus &Key : Status.keys()) {
    Keys[Key.key()] = Key.revision();
  }
  Json Members = Json::array();
  for (const wire::MemberRecord &Member : Status.members()) {
    Members.push_back({{"node", Member.node()},
                       {"address", Member.address()},
                       {"control_port", Member.control_port()},
                       {"zone", Member.zone()},
                       {"service", Member.service()},
                       {"version", Member.version()},
                       {"incarnation", Member.incarnation()},
                       {"state", nameOf(Member.state())},
                       {"draining", Member.draining()}});
  }
  return {{"node", Status.node()},
          {"version", Status.version()},
          {"alive", Status.alive()},
          {"suspect", Status.suspect()},
          {"unreachable", Status.unreachable()},
          {"keys", Keys},
          {"members", Members}};
}

void printStatus(Context &Run, const std::string &Node,
                 const wire::StatusAnswer &Status) {
  const std::string Version =
      Status.version().empty() ? "" : "version " + Status.version() + ", ";
  Run.Out.line("node " + Node + ": " + Version +
               std::to_string(Status.alive()) + " alive, " +
               std::to_string(Status.suspect()) + " suspect, " +
               std::to_string(Status.unreachable()) + " unreachable");
  for (const wire::KeyStatus &Key : Status.keys()) {
    Run.Out.line("  " + Key.key() + " at revision " +
                 std::to_string(Key.revision()));
  }
  for (const wire::MemberRecord &Member : Status.members()) {
    Run.Out.line(
        "  member " + Member.address() + ":" +
        std::to_string(Member.control_port()) + " zone " + Member.zone() + " " +
        (Member.service().empty() ? "entry node"
                                  : Member.service() + " " + Member.version()) +
        " " + nameOf(Member.state()) + (Member.draining() ? " draining" : ""));
  }
}

} // namespace

ExitCode status(Context &Run) {
  wire::ControlBody Request;
  Request.set_method("status");
  Request.mutable_status();
  return askAll(
      Run, Request,
      [&Run](const std::string &Node, const wire::ControlBody &Response) {
        if (!Response.has_status_answer()) {
          return false;
        }
        printStatus(Run, Node, Response.status_answer());
        Run.Out.Document["nodes"][Node] = toJson(Response.status_answer());
        return true;
      });
}

ExitCode dump(Context &Run) {
  wire::ControlBody Request;
  Request.set_method("dump");
  Request.mutable_dump();
  return askAll(
      Run, Request,
      [&Run](const std::string &Node, const wire::ControlBody &Response) {
        const Json State =
            Json::parse(Response.dump_answer().json(), nullptr, false);
        if (!Response.has_dump_answer() || State.is_discarded()) {
          return false;
        }
        Run.Out.line(State.dump(2, ' ', false, Json::error_handler_t::replace));
        Run.Out.Document["nodes"][Node] = State;
        return true;
      });
}

ExitCode wait(Context &Run) {
  constexpr std::array Prefixes = {settings::ServicePrefix,
                                   settings::ZonePrefix,
                                   settings::RolloutRecordPrefix};
  KeyRevisions Wanted;
  for (const std::string_view Prefix : Prefixes) {
    store::StoreError Error;
    const auto Found = Run.Store.Range(Prefix, Run.Options.Timeout, Error);
    if (!Found) {
      return reportStoreError(Run, Error);
    }
    for (const store::Entry &Entry : Found->Entries) {
      const auto &Keys = Run.Options.Arguments;
      if (Keys.empty() ||
          std::find(Keys.begin(), Keys.end(), Entry.Key) != Keys.end()) {
        Wanted[Entry.Key] = Entry.ModRevision;
      }
    }
  }
  for (const std::string &Key : Run.Options.Arguments) {
    if (Wanted.count(Key) == 0) {
      Run.Out.line("error: the store has no key " + Key);
      Run.Out.Document["error"] = "the store has no key " + Key;
      return ExitCode::Failed;
    }
  }
  return waitInEffect(Run, Wanted);
}

} // namespace magnolia::ctl::internal
