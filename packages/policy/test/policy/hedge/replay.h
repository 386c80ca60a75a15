#ifndef POLICY_TEST_HEDGE_REPLAY_H
#define POLICY_TEST_HEDGE_REPLAY_H

#include "policy/hedge/decide_hedge.h"
#include "policy/retry/plan_next.h"
#include "policy/route/choose.h"
#include "policy/route/feedback.h"
#include "policy/route/update_candidates.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <utility>
#include <vector>

namespace magnolia::policy::test {

// One entry node and the backend servers of one service in virtual time. Each
// server has slots and a queue, and reports its load with each response and
// when it is probed. A cancelled copy leaves the queue or frees its slot.
class Replay {
public:
  // Returns how long a server works on a copy that begins now.
  using Work = std::function<Duration(std::size_t Server, TimePoint Now,
                                      RandomEngine &Random)>;

  struct Options {
    HedgeOptions Hedge;
    std::size_t Servers = 8;
    std::uint32_t Slots = 10;
    Duration Between = std::chrono::milliseconds(5);
    Duration Deadline = std::chrono::seconds(2);
    Duration Length = std::chrono::seconds(30);
    bool Idempotent = true;
    std::uint64_t Seed = 7;
    Work Takes;
  };

  explicit Replay(Options Given)
      : Opts(std::move(Given)), Random(Opts.Seed), Busy(Opts.Servers) {
    Budget.Options = {
        .Ratio = 0.2, .FloorPerSecond = 100, .Cap = 200, .MaxAttempts = 4};
    std::vector<CandidateSpec> Specs;
    for (std::size_t I = 0; I < Opts.Servers; ++I) {
      Specs.push_back({.Node = I + 1, .Run = 1});
    }
    updateCandidates(Servers, Specs, Now);
  }

  void run() {
    for (TimePoint At = Now; At < TimePoint{} + Opts.Length;
         At += Opts.Between) {
      after(At - Now, [this] { arrive(); });
    }
    for (TimePoint At = Now; At < TimePoint{} + Opts.Length;
         At += std::chrono::milliseconds(10)) {
      after(At - Now, [this] {
        const std::size_t Probed = Random() % Opts.Servers;
        onReport(Servers, Probed + 1, report(Probed), Now);
      });
    }
    while (!Events.empty()) {
      const Event Next = Events.top();
      Events.pop();
      Now = Next.At;
      Next.Action();
    }
  }

  // Returns the time within which the share of the requests was answered that
  // arrived after the given time.
  [[nodiscard]] Duration within(double Share, TimePoint From = {}) const {
    std::vector<Duration> Lengths;
    for (const auto &[Start, Length] : Answered) {
      if (Start >= From) {
        Lengths.push_back(Length);
      }
    }
    std::sort(Lengths.begin(), Lengths.end());
    return Lengths.at(static_cast<std::size_t>(
        Share * static_cast<double>(Lengths.size() - 1)));
  }

  HedgeState Hedges;
  std::vector<TimePoint> HedgesAt;
  std::vector<TimePoint> RequestsAt;
  std::uint32_t MaxAtServer = 0;

  [[nodiscard]] bool allSlotsFree() const {
    return std::all_of(Busy.begin(), Busy.end(), [](const Server &At) {
      return At.Running == 0 && At.Queue.empty();
    });
  }

private:
  struct Copy {
    std::size_t Server = 0;
    Dispatch Sent;
    bool IsHedge = false;
    bool Running = false;
    bool Ended = false;
  };
  using CopyPtr = std::shared_ptr<Copy>;

  struct Request {
    TimePoint Start{};
    AttemptState State;
    std::vector<NodeId> Tried;
    std::vector<CopyPtr> Copies;
    std::optional<TimePoint> HedgeAt;
    bool Ended = false;
  };
  using RequestPtr = std::shared_ptr<Request>;

  struct Server {
    std::uint32_t Running = 0;
    std::vector<std::pair<RequestPtr, CopyPtr>> Queue;
  };

  struct Event {
    TimePoint At{};
    std::uint64_t Order = 0;
    std::function<void()> Action;
    bool operator>(const Event &Other) const {
      return std::pair(At, Order) > std::pair(Other.At, Other.Order);
    }
  };

  void after(Duration Delay, std::function<void()> Action) {
    Events.push({Now + Delay, ++Order, std::move(Action)});
  }

  [[nodiscard]] LoadReport report(std::size_t At) const {
    return {.InFlight = Busy[At].Running,
            .Limit = Opts.Slots,
            .Waiting = static_cast<std::uint32_t>(Busy[At].Queue.size())};
  }

  void arrive() {
    const auto Next = std::make_shared<Request>();
    Next->Start = Now;
    Next->State.Idempotent = Opts.Idempotent;
    Next->State.Deadline = Now + Opts.Deadline;
    RequestsAt.push_back(Now);
    recordRequest(Budget, Now);
    recordHedgeRequest(Hedges, Opts.Hedge.Percent);
    Error LastError;
    const auto Node = choose(Servers, {.Idempotent = Opts.Idempotent}, Now,
                             Random, LastError);
    const auto Delay = hedgeDelay(Hedges, "/", Opts.Hedge, Now);
    send(Next, Node.value(), false);
    if (Delay) {
      Next->HedgeAt = Now + *Delay;
      after(*Delay, [this, Next] { hedge(Next); });
    }
  }

  void send(const RequestPtr &From, NodeId Node, bool IsHedge) {
    onAttempt(From->State);
    From->Tried.push_back(Node);
    const auto Sent =
        std::make_shared<Copy>(Copy{.Server = Node - 1,
                                    .Sent = onDispatch(Servers, Node, Now),
                                    .IsHedge = IsHedge});
    From->Copies.push_back(Sent);
    Busy[Sent->Server].Queue.emplace_back(From, Sent);
    startWaiting(Sent->Server);
  }

  void startWaiting(std::size_t At) {
    Server &Here = Busy[At];
    while (!Here.Queue.empty() && Here.Running < Opts.Slots) {
      const auto [From, Next] = Here.Queue.front();
      Here.Queue.erase(Here.Queue.begin());
      ++Here.Running;
      MaxAtServer = std::max(MaxAtServer, Here.Running);
      Next->Running = true;
      after(Opts.Takes(At, Now, Random),
            [this, From = From, Next = Next] { answer(From, Next); });
    }
  }

  void hedge(const RequestPtr &From) {
    if (From->Ended) {
      return;
    }
    const HedgeDecision Decision =
        decideHedge(Hedges, Servers, From->State, Budget,
                    {.Route = "/", .Tried = From->Tried}, Now, Random);
    if (Decision.Refusal == HedgeRefusal::None) {
      HedgesAt.push_back(Now);
      send(From, Decision.Target, true);
    }
  }

  void answer(const RequestPtr &From, const CopyPtr &Of) {
    if (Of->Ended) {
      return;
    }
    end(Of);
    onResponse(Servers, Of->Sent, {.Load = report(Of->Server)}, Now);
    From->Ended = true;
    Answered.emplace_back(From->Start, Now - From->Start);
    for (const CopyPtr &Other : From->Copies) {
      if (Other != Of) {
        end(Other);
        onFailure(Servers, Other->Sent, ErrorKind::Cancelled, Now);
      }
      if (!Other->IsHedge) {
        recordHedgeTime(Hedges, "/", Now - From->Start,
                        From->HedgeAt && Now < *From->HedgeAt, Now);
      }
    }
    startWaiting(Of->Server);
  }

  void end(const CopyPtr &Ending) {
    Ending->Ended = true;
    Server &Here = Busy[Ending->Server];
    if (Ending->Running) {
      --Here.Running;
    } else {
      std::erase_if(Here.Queue,
                    [&](const auto &Entry) { return Entry.second == Ending; });
    }
    after(Duration{0}, [this, At = Ending->Server] { startWaiting(At); });
  }

  const Options Opts;
  RandomEngine Random;
  TimePoint Now{std::chrono::seconds(1)};
  std::uint64_t Order = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> Events;
  RouteState Servers;
  RetryBudget Budget;
  std::vector<Server> Busy;
  std::vector<std::pair<TimePoint, Duration>> Answered;
};

} // namespace magnolia::policy::test

#endif
