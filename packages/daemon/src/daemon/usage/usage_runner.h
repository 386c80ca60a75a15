#ifndef DAEMON_USAGE_USAGE_RUNNER_H
#define DAEMON_USAGE_USAGE_RUNNER_H

#include "daemon/usage/report_sender.h"
#include "daemon/usage/usage_setup.h"
#include "policy/membership/member.h"
#include "policy/usage/clock_samples.h"
#include "policy/usage/duty_state.h"
#include "policy/usage/usage_totals.h"

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace magnolia::wire {
class UsageAnswer;
class UsageRequest;
} // namespace magnolia::wire

namespace magnolia::daemon {

class ControlClient;
class MembershipRunner;
class RunCounter;
class StoreWorker;

// Reports how many requests of each organisation backend servers began to run:
// sends the counts of this node to the holder and a standby, and records and
// sends the reports while this node is the holder. Used by the control thread
// only.
class UsageRunner {
public:
  struct Dependencies {
    MembershipRunner &Membership;
    ControlClient &Client;
    TaskQueue &Queue;
    // Null on a node without a store, which never becomes the holder.
    StoreWorker *Store;
    RunCounter &Runs;
  };
  // Clocks of the node; the lease is measured with the first.
  struct Clocks {
    std::function<policy::TimePoint()> Boot;
    std::function<policy::TimePoint()> Wall;
  };
  // State of the node besides the membership.
  struct NodeFacts {
    // Whether the node may use the store.
    bool Watching = false;
    bool Leaving = false;
    // Newest epoch of the store that the node has heard of.
    std::uint64_t Epoch = 0;
  };

  UsageRunner(Dependencies Required, UsageSetup Setup, Clocks Time);
  UsageRunner(const UsageRunner &) = delete;
  UsageRunner &operator=(const UsageRunner &) = delete;
  ~UsageRunner();

  void tick(const NodeFacts &Facts);
  // Handles the counts of another node.
  void onMessage(const wire::UsageRequest &Request, wire::UsageAnswer &Answer);

  // The state as JSON, and the counters in the Prometheus text format. The
  // counters may be read on any thread.
  [[nodiscard]] std::string dump() const;
  [[nodiscard]] std::string metrics() const;

private:
  // Returns the holder, if it is live, and the next live members in rank.
  [[nodiscard]] std::vector<policy::Member> collectors();
  // Returns the members that may become the holder.
  [[nodiscard]] std::vector<policy::Member> candidates();
  [[nodiscard]] bool isHolderLive(const NodeFacts &Facts) const;
  [[nodiscard]] std::size_t liveMembers() const;
  void sendCounts(policy::TimePoint Now);
  void sendTo(const policy::Member &Collector, policy::TimePoint Now);
  void onAnswer(policy::NodeId From, const wire::UsageAnswer &Answer);
  void act(const NodeFacts &Facts, policy::TimePoint Now);
  void start(const policy::DutyAction &Action);
  void startRead();
  void startWrite(const policy::DutyAction &Action);
  void startSend(const policy::DutyAction &Action);
  void onWritten(policy::WriteOutcome Outcome, std::uint64_t Revision);
  void onSent(policy::UsageWindow Window, const ReportResult &Result);
  // Logs the windows after the given one that are recorded now.
  void logRecorded(policy::UsageWindow Before);
  // Returns the time since the end of a window.
  [[nodiscard]] std::uint64_t ageMs(policy::UsageWindow Window);
  // Logs what changed since the last call.
  void logChanges();
  void publishCounts();

  Dependencies Deps;
  const UsageSetup Setup;
  const Clocks Time;
  // Name of this node as a holder.
  const std::string Name;
  policy::ClockSamples Samples;
  policy::UsageTotals Totals;
  policy::DutyState Duty;
  policy::TimePoint NextMessage{};
  // Incarnation of the last message. The membership raises that of the node if
  // its clock was ahead before it was restarted.
  policy::Incarnation SentRun = 0;
  // Changes that were logged.
  policy::DutyCounts Logged;
  mutable std::mutex Mutex;
  // Copy for metrics().
  policy::DutyCounts Published;
  ReportSender Sender;
};

} // namespace magnolia::daemon

#endif
