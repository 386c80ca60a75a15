#include "ctl/node/in_effect.h"

#include <algorithm>
#include <atomic>
#include <mutex>
#include <set>
#include <thread>
#include <utility>

namespace magnolia::ctl {
namespace {

using settings::HostPort;
using Milliseconds = std::chrono::milliseconds;

// Number of members queried at the same time.
constexpr std::size_t MaxThreads = 16;
// Limits the delay of a round by a member that does not respond.
constexpr Milliseconds MemberTimeout{1000};
constexpr Milliseconds RoundPause{100};
constexpr std::size_t MaxListedBehind = 5;

using Addresses = std::set<std::pair<std::string, std::uint16_t>>;

std::optional<wire::StatusAnswer> askStatus(const Context &Run,
                                            const HostPort &Node) {
  wire::ControlBody Request;
  Request.set_method("status");
  Request.mutable_status();
  policy::Error Ignored;
  auto Response = Run.CallNode(
      Node, Request, std::min(MemberTimeout, Run.Options.Timeout), Ignored);
  if (!Response || !Response->has_status_answer()) {
    return std::nullopt;
  }
  return std::move(*Response->mutable_status_answer());
}

bool hasReached(const wire::StatusAnswer &Status, const KeyRevisions &Wanted) {
  std::size_t Reached = 0;
  for (const wire::KeyStatus &Key : Status.keys()) {
    const auto Found = Wanted.find(Key.key());
    if (Found != Wanted.end() && Key.revision() >= Found->second) {
      ++Reached;
    }
  }
  return Reached == Wanted.size();
}

// Returns the live members that the first responding node lists, and all nodes
// of the command line.
std::vector<HostPort> findLive(const Context &Run, FleetState &State) {
  Addresses Found;
  for (const HostPort &Node : Run.Options.Nodes) {
    Found.emplace(Node.Address, Node.Port);
  }
  for (const HostPort &Node : Run.Options.Nodes) {
    const auto Status = askStatus(Run, Node);
    if (!Status) {
      continue;
    }
    for (const wire::MemberRecord &Member : Status->members()) {
      const bool Live = Member.state() == wire::MEMBER_ALIVE ||
                        Member.state() == wire::MEMBER_SUSPECT;
      if (Live && Member.control_port() != 0) {
        Found.emplace(Member.address(),
                      static_cast<std::uint16_t>(Member.control_port()));
      }
      State.Unreachable += Member.state() == wire::MEMBER_UNREACHABLE ? 1 : 0;
    }
    break;
  }
  std::vector<HostPort> Live;
  for (const auto &[Address, Port] : Found) {
    Live.push_back({Address, Port});
  }
  return Live;
}

std::string describe(const FleetState &State) {
  std::string Text = "in force on " + std::to_string(State.InEffect) + " of " +
                     std::to_string(State.Live) + " live members";
  if (State.Unreachable > 0) {
    Text += ", " + std::to_string(State.Unreachable) +
            " unreachable members not asked";
  }
  return Text;
}

void report(Context &Run, const FleetState &State) {
  Run.Out.Document["live"] = State.Live;
  Run.Out.Document["in_force"] = State.InEffect;
  Run.Out.Document["unreachable"] = State.Unreachable;
  Run.Out.Document["behind"] = State.Behind;
}

} // namespace

FleetState askFleet(Context &Run, const KeyRevisions &Wanted) {
  FleetState State;
  const std::vector<HostPort> Live = findLive(Run, State);
  State.Live = Live.size();
  std::atomic<std::size_t> Next{0};
  std::mutex Mutex;
  const auto Ask = [&] {
    for (std::size_t I = Next++; I < Live.size(); I = Next++) {
      const auto Status = askStatus(Run, Live[I]);
      const bool Reached = Status && hasReached(*Status, Wanted);
      const std::lock_guard Lock(Mutex);
      State.InEffect += Reached ? 1 : 0;
      if (!Reached) {
        State.Behind.push_back(toString(Live[I]));
      }
    }
  };
  std::vector<std::thread> Threads;
  for (std::size_t I = 1; I < std::min(MaxThreads, Live.size()); ++I) {
    Threads.emplace_back(Ask);
  }
  Ask();
  for (std::thread &Thread : Threads) {
    Thread.join();
  }
  std::sort(State.Behind.begin(), State.Behind.end());
  return State;
}

ExitCode waitInEffect(Context &Run, const KeyRevisions &Wanted) {
  if (Run.Options.Nodes.empty()) {
    Run.Out.line("not checked whether the change is in force: no --node given");
    return ExitCode::NotInEffect;
  }
  const policy::TimePoint End = Run.Now() + Run.Options.Timeout;
  std::string Last;
  for (;;) {
    const FleetState State = askFleet(Run, Wanted);
    report(Run, State);
    const std::string Text = describe(State);
    if (Text != Last) {
      Run.Out.line(Text);
      Last = Text;
    }
    if (State.complete()) {
      return ExitCode::Done;
    }
    if (Run.Now() >= End) {
      for (std::size_t I = 0; I < State.Behind.size() && I < MaxListedBehind;
           ++I) {
        Run.Out.line("  not yet in force on " + State.Behind[I]);
      }
      Run.Out.line("run magnoliactl wait to go on waiting");
      return ExitCode::NotInEffect;
    }
    Run.Pause(RoundPause);
  }
}

} // namespace magnolia::ctl
