#include "daemon/usage/usage_runner.h"

#include "daemon/control/control_client.h"
#include "daemon/control/membership_runner.h"
#include "daemon/control/task_queue.h"
#include "daemon/log/log.h"
#include "daemon/usage/run_counter.h"
#include "daemon/usage/usage_codec.h"
#include "policy/rollout/advance.h"
#include "policy/usage/hold_duty.h"
#include "policy/usage/merge.h"
#include "policy/usage/run_counts.h"
#include "policy/usage/true_time.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <wire/control.pb.h>

namespace magnolia::daemon {

namespace {

// Key of the order in which members become the holder.
constexpr std::string_view RankKey = "usage";
// Members that replace a failed holder. Further ones would only add calls to a
// store that is down.
constexpr std::size_t MaxCandidates = 4;

bool mayHold(const policy::Member &Next) {
  return policy::isLive(Next) && !Next.Draining;
}

} // namespace

UsageRunner::UsageRunner(Dependencies Required, UsageSetup Given, Clocks Clock)
    : Deps(Required), Setup(std::move(Given)), Time(std::move(Clock)),
      Name(Deps.Membership.self().Address + ":" +
           std::to_string(Deps.Membership.self().PeerPort)),
      Sender(Setup.Address, Setup.Port, Time.Boot) {}

UsageRunner::~UsageRunner() = default;

std::vector<policy::Member> UsageRunner::candidates() {
  std::vector<policy::Member> Result;
  for (const policy::Member &Next : Deps.Membership.watchers()) {
    if (mayHold(Next)) {
      Result.push_back(Next);
    }
  }
  std::vector<std::pair<std::size_t, policy::Member>> Ranked;
  Ranked.reserve(Result.size());
  for (const policy::Member &Next : Result) {
    Ranked.emplace_back(*policy::driverRank(Next.Node, Result, RankKey), Next);
  }
  std::sort(Ranked.begin(), Ranked.end(),
            [](const auto &Left, const auto &Right) {
              return Left.first < Right.first;
            });
  Result.clear();
  for (auto &[Rank, Next] : Ranked) {
    Result.push_back(std::move(Next));
  }
  return Result;
}

std::vector<policy::Member> UsageRunner::collectors() {
  std::vector<policy::Member> Result;
  const policy::Member *Holder = Deps.Membership.find(Duty.Known.Holder);
  if (Holder && policy::isLive(*Holder)) {
    Result.push_back(*Holder);
  }
  for (policy::Member &Next : candidates()) {
    if (Result.size() < policy::UsageCollectors &&
        Next.Node != Duty.Known.Holder) {
      Result.push_back(std::move(Next));
    }
  }
  return Result;
}

bool UsageRunner::isHolderLive(const NodeFacts &Facts) const {
  if (Duty.Known.Holder == Deps.Membership.self().Node) {
    return !Facts.Leaving;
  }
  const policy::Member *Holder = Deps.Membership.find(Duty.Known.Holder);
  return Holder && mayHold(*Holder);
}

std::size_t UsageRunner::liveMembers() const {
  const auto Members = Deps.Membership.members();
  return static_cast<std::size_t>(
      std::count_if(Members.begin(), Members.end(), policy::isLive));
}

void UsageRunner::tick(const NodeFacts &Facts) {
  const policy::TimePoint Now = Time.Boot();
  if (Now >= NextMessage) {
    NextMessage = Now + policy::sendInterval(Setup.Times);
    sendCounts(Now);
  }
  policy::forgetWindows(Totals, Duty.Known.Recorded);
  act(Facts, Now);
  logChanges();
  publishCounts();
}

void UsageRunner::sendCounts(policy::TimePoint Now) {
  const policy::NodeId Self = Deps.Membership.self().Node;
  const policy::Incarnation Run = Deps.Membership.self().Run;
  if (SentRun != 0 && SentRun != Run) {
    Deps.Runs.onNewIncarnation();
  }
  SentRun = Run;
  policy::addClock(Samples, Self, Time.Wall(), Now);
  for (const policy::Member &Collector : collectors()) {
    if (Collector.Node != Self) {
      sendTo(Collector, Now);
      continue;
    }
    if (const auto True =
            policy::trueTime(Samples, liveMembers(), Now, Setup.Times)) {
      Deps.Runs.setTrueTime(*True, Now);
    }
    policy::UsageMessage Message = Deps.Runs.messageFor(Self, Now);
    Message.Node = Self;
    Message.Run = Run;
    policy::addMessage(Totals, Message, Now);
    Deps.Runs.onCollected(Self, Message.Run, Message.Closed);
  }
}

void UsageRunner::sendTo(const policy::Member &Collector,
                         policy::TimePoint Now) {
  const policy::Member &Self = Deps.Membership.self();
  policy::UsageMessage Message = Deps.Runs.messageFor(Collector.Node, Now);
  Message.Node = Self.Node;
  Message.Run = Self.Run;
  Message.Wall = Time.Wall();
  wire::ControlBody Body;
  toWire(Message, *Body.mutable_usage());
  toWire(Duty.Known, Duty.Holding, *Body.mutable_usage()->mutable_duty());
  Deps.Client.call(
      {.Address = Collector.Address, .Port = Collector.ControlPort},
      std::move(Body),
      // The call may end after this object; the queue is closed then.
      [this, &Queue = Deps.Queue,
       From = Collector.Node](std::optional<wire::ControlBody> Response) {
        if (Response && Response->has_usage_answer()) {
          Queue.post([this, From, Answer = Response->usage_answer()] {
            onAnswer(From, Answer);
          });
        }
      });
}

void UsageRunner::onAnswer(policy::NodeId From,
                           const wire::UsageAnswer &Answer) {
  const policy::TimePoint Now = Time.Boot();
  Deps.Runs.onCollected(From, Answer.incarnation(), Answer.closed());
  policy::onDutyFacts(Duty, fromWire(Answer.duty()), From,
                      Answer.duty().holds(), Now);
  if (Answer.true_us() != 0) {
    Deps.Runs.setTrueTime(
        policy::TimePoint(std::chrono::microseconds(Answer.true_us())), Now);
  }
}

void UsageRunner::onMessage(const wire::UsageRequest &Request,
                            wire::UsageAnswer &Answer) {
  const policy::TimePoint Now = Time.Boot();
  const policy::UsageMessage Message = fromWire(Request);
  if (Message.Wall > policy::TimePoint{}) {
    policy::addClock(Samples, Message.Node, Message.Wall, Now);
  }
  policy::addMessage(Totals, Message, Now);
  policy::onDutyFacts(Duty, fromWire(Request.duty()), Message.Node,
                      Request.duty().holds(), Now);
  Answer.set_incarnation(Deps.Membership.self().Run);
  Answer.set_closed(Message.Closed);
  if (const auto True =
          policy::trueTime(Samples, liveMembers(), Now, Setup.Times)) {
    Answer.set_true_us(std::chrono::duration_cast<std::chrono::microseconds>(
                           True->time_since_epoch())
                           .count());
  }
  toWire(Duty.Known, Duty.Holding, *Answer.mutable_duty());
}

void UsageRunner::act(const NodeFacts &Facts, policy::TimePoint Now) {
  if (!Deps.Store) {
    return;
  }
  const policy::NodeId Self = Deps.Membership.self().Node;
  std::optional<std::size_t> Rank;
  if (Facts.Watching && !Duty.Holding) {
    std::vector<policy::Member> Others = candidates();
    std::erase_if(Others, [&](const policy::Member &Next) {
      return Next.Node == Duty.Known.Holder && Next.Node != Self;
    });
    Rank = policy::driverRank(Self, Others, RankKey);
  }
  std::vector<policy::NodeId> Reporting;
  if (Duty.Holding || Rank) {
    for (const policy::Member &Next : Deps.Membership.members()) {
      if (policy::isLive(Next)) {
        Reporting.push_back(Next.Node);
      }
    }
  }
  const policy::DutyInput Input{
      .Now = Now,
      .True = policy::trueTime(Samples, liveMembers(), Now, Setup.Times),
      .Self = Self,
      .Run = Deps.Membership.self().Run,
      .Name = Name,
      .Rank = Rank && *Rank < MaxCandidates ? Rank : std::nullopt,
      .HolderLive = isHolderLive(Facts),
      .Leaving = Facts.Leaving,
      .Epoch = Facts.Epoch,
      .Totals = Totals,
      .Reporting = Reporting};
  while (const auto Action = policy::nextDutyAction(Duty, Input, Setup.Times)) {
    start(*Action);
  }
}

void UsageRunner::logChanges() {
  const policy::DutyCounts &Now = Duty.Counts;
  if (Now.Gained > Logged.Gained) {
    log(LogLevel::Info, "usage duty gained", {{"token", Duty.Known.Token}});
  }
  if (Now.Lost > Logged.Lost) {
    log(LogLevel::Warning, "usage duty lost",
        {{"token", Duty.Known.Token}, {"holder", Duty.Known.Holder}});
  }
  if (Now.GivenUp > Logged.GivenUp) {
    log(LogLevel::Warning, "usage windows given up",
        {{"windows", Now.GivenUp - Logged.GivenUp},
         {"recorded", Duty.Known.Recorded},
         {"age_ms", ageMs(Duty.Known.Recorded)}});
  }
  Logged = Now;
}

void UsageRunner::publishCounts() {
  const std::lock_guard Lock(Mutex);
  Published = Duty.Counts;
}

} // namespace magnolia::daemon
