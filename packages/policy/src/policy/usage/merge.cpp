#include "policy/usage/merge.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace magnolia::policy {

namespace {

constexpr std::size_t MaxUsageNodes = 65'536;
// Time without a message after which a node is forgotten.
constexpr Duration MaxSilence = std::chrono::minutes(5);

std::uint64_t sumOf(const OrganisationCounts &Counts) {
  std::uint64_t Sum = 0;
  for (const auto &[Name, Count] : Counts) {
    Sum += Count;
  }
  return Sum;
}

void dropOldSums(UsageTotals &State) {
  while (State.Sums.size() > MaxKeptWindows) {
    State.Dropped += sumOf(State.Sums.begin()->second);
    State.Sums.erase(State.Sums.begin());
  }
}

// Moves the windows up to this one into the sums.
void closeWindows(UsageTotals &State, OpenCounts &Node, UsageWindow Last) {
  const auto End = Node.Windows.upper_bound(Last);
  for (auto Next = Node.Windows.begin(); Next != End; ++Next) {
    if (Next->first <= State.Recorded) {
      State.Dropped += sumOf(Next->second);
    } else {
      State.Dropped += addCounts(State.Sums[Next->first], Next->second);
    }
  }
  Node.Windows.erase(Node.Windows.begin(), End);
  Node.Closed = std::max(Node.Closed, Last);
  dropOldSums(State);
}

void replaceWindows(UsageTotals &State, OpenCounts &Node,
                    const UsageMessage &Message) {
  for (const WindowCounts &Next : Message.Windows) {
    if (Next.Window <= Node.Closed) {
      continue;
    }
    OrganisationCounts Counts;
    State.Dropped += addCounts(Counts, Next.Counts);
    Node.Windows[Next.Window] = std::move(Counts);
  }
  while (Node.Windows.size() > MaxKeptWindows) {
    State.Dropped += sumOf(Node.Windows.begin()->second);
    Node.Windows.erase(Node.Windows.begin());
  }
}

} // namespace

void addMessage(UsageTotals &State, const UsageMessage &Message,
                TimePoint Now) {
  if (State.Nodes.size() >= MaxUsageNodes &&
      !State.Nodes.contains(Message.Node)) {
    std::erase_if(State.Nodes, [Now](const auto &Next) {
      return Next.second.HeardAt < Now - MaxSilence;
    });
    if (State.Nodes.size() >= MaxUsageNodes) {
      return;
    }
  }
  OpenCounts &Node = State.Nodes[Message.Node];
  if (Message.Run < Node.Run ||
      (Message.Run == Node.Run && Message.Sequence <= Node.Sequence)) {
    return;
  }
  if (Message.Run > Node.Run) {
    // The counts of the former incarnation are complete as far as they are
    // known.
    if (!Node.Windows.empty()) {
      closeWindows(State, Node, Node.Windows.rbegin()->first);
    }
    Node = {.Run = Message.Run};
  }
  Node.Sequence = Message.Sequence;
  Node.HeardAt = Now;
  replaceWindows(State, Node, Message);
  closeWindows(State, Node, Message.Closed);
}

void forgetWindows(UsageTotals &State, UsageWindow Recorded) {
  if (Recorded <= State.Recorded) {
    return;
  }
  State.Recorded = Recorded;
  State.Sums.erase(State.Sums.begin(), State.Sums.upper_bound(Recorded));
  for (auto &[Id, Node] : State.Nodes) {
    Node.Windows.erase(Node.Windows.begin(),
                       Node.Windows.upper_bound(Recorded));
  }
}

OrganisationCounts countsOf(const UsageTotals &State, UsageWindow Window) {
  OrganisationCounts Result;
  if (const auto Found = State.Sums.find(Window); Found != State.Sums.end()) {
    Result = Found->second;
  }
  for (const auto &[Id, Node] : State.Nodes) {
    if (const auto Open = Node.Windows.find(Window);
        Open != Node.Windows.end()) {
      (void)addCounts(Result, Open->second);
    }
  }
  std::erase_if(Result, [](const auto &Next) { return Next.second == 0; });
  return Result;
}

UsageWindow firstWindow(const UsageTotals &State) {
  UsageWindow First = State.Sums.empty() ? 0 : State.Sums.begin()->first;
  for (const auto &[Id, Node] : State.Nodes) {
    if (!Node.Windows.empty() &&
        (First == 0 || Node.Windows.begin()->first < First)) {
      First = Node.Windows.begin()->first;
    }
  }
  return First;
}

bool isFinal(const UsageTotals &State, UsageWindow Window,
             std::span<const NodeId> Reporting, TimePoint True,
             const UsageOptions &Options) {
  const TimePoint End = endOf(Window, Options.Window);
  if (True < End) {
    return false;
  }
  return True >= End + countWait(Options) ||
         std::all_of(Reporting.begin(), Reporting.end(), [&](NodeId Id) {
           const auto Found = State.Nodes.find(Id);
           return Found != State.Nodes.end() && Found->second.Closed >= Window;
         });
}

} // namespace magnolia::policy
