#ifndef POLICY_TEST_CHAIN_CHAIN_REPLAY_H
#define POLICY_TEST_CHAIN_CHAIN_REPLAY_H

#include "policy/chain/admit_route.h"
#include "policy/chain/count_runs.h"
#include "policy/chain/plan_return.h"

#include <algorithm>
#include <functional>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace magnolia::policy::test {

// How a rejected caller comes back while it has time left.
enum class Return { Never, AsAsked, AtOnce };

struct ReplayRoute {
  std::string Name;
  std::uint32_t Priority = 1;
  double PerSecond = 0;
  // Nested calls of one run, made one after the other.
  int Calls = 0;
  // Service that they call.
  std::size_t Called = 0;
  Return Returns = Return::Never;
};

// Results of the requests that arrived in the measured time.
struct ReplayResult {
  double Requests = 0;
  double Rejections = 0;
  double Lost = 0;
  double Answered = 0;
  // Requests admitted at the time at which their callers were asked to return.
  double Returned = 0;
};

// Requests of several routes that arrive at the entry nodes, run for a while at
// one of the servers and call services that bear a given number of calls.
class ChainReplay {
public:
  static constexpr Duration RunTime = std::chrono::milliseconds(150);
  static constexpr Duration Patience = std::chrono::milliseconds(2500);

  std::vector<ReplayRoute> Routes;
  std::size_t Entries = 6;
  std::size_t Servers = 8;
  // Calls per second that a called service bears at a time.
  std::function<double(std::size_t Called, double Second)> Capacity;
  // Share of the calls that is rejected whatever the load is.
  double AlwaysRejected = 0;
  bool Aware = true;
  // Time from which sidecars report nothing.
  double ReportsUntil = 1e9;
  double MeasureFrom = 0;

  explicit ChainReplay(std::uint64_t Seed) : Random(Seed) {}

  std::vector<ReplayResult> run(double Seconds) {
    Results.assign(Routes.size(), {});
    Nodes.resize(Entries);
    Windows.resize(Servers);
    for (std::size_t I = 0; I < Routes.size(); ++I) {
      at(0, [this, I, Seconds] { nextCaller(I, Seconds); });
    }
    while (!Events.empty()) {
      const Event Next = Events.top();
      Events.pop();
      Now = Next.At;
      Next.Run();
    }
    return Results;
  }

private:
  struct Event {
    double At;
    std::uint64_t Order;
    std::function<void()> Run;
    bool operator<(const Event &Other) const {
      return std::tie(Other.At, Other.Order) < std::tie(At, Order);
    }
  };
  struct Bucket {
    double Tokens = 0;
    double Filled = 0;
  };

  static TimePoint time(double Second) {
    return TimePoint(std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(100 + Second)));
  }
  static double seconds(Duration Length) {
    return std::chrono::duration<double>(Length).count();
  }
  void at(double Second, std::function<void()> Run) {
    Events.push({Second, ++Order, std::move(Run)});
  }
  std::size_t pick(std::size_t Count) {
    return std::uniform_int_distribution<std::size_t>(0, Count - 1)(Random);
  }

  void nextCaller(std::size_t I, double Until) {
    const double Gap =
        std::exponential_distribution<>(Routes[I].PerSecond)(Random);
    if (Now + Gap > Until) {
      return;
    }
    at(Now + Gap, [this, I, Until] {
      const bool Measured = Now >= MeasureFrom;
      Results[I].Requests += Measured ? 1 : 0;
      arrive(I, pick(Entries), time(Now) + Patience, Measured);
      nextCaller(I, Until);
    });
  }

  void arrive(std::size_t I, std::size_t Entry, TimePoint Deadline,
              bool Measured) {
    const ReplayRoute &Route = Routes[I];
    const RouteArrival Arrival{.Route = Route.Name,
                               .Priority = Route.Priority,
                               .CallerDeadline = Deadline};
    const RouteDecision Decision =
        Aware ? admitRoute(Nodes[Entry], Arrival, time(Now)) : RouteDecision{};
    if (Decision.Admitted) {
      Results[I].Returned += Measured && Decision.Returned ? 1 : 0;
      call(I, Entry, pick(Servers), 0, Measured);
      return;
    }
    Results[I].Rejections += Measured ? 1 : 0;
    const Duration Asked = planReturn(Nodes[Entry], Arrival,
                                      ErrorKind::Overloaded, time(Now), Random);
    const double Delay =
        Route.Returns == Return::AtOnce ? 0.02 : seconds(Asked);
    if (Route.Returns != Return::Never &&
        time(Now + Delay) < Deadline - RunTime) {
      at(Now + Delay, [this, I, Entry, Deadline, Measured] {
        arrive(I, Entry, Deadline, Measured);
      });
    }
  }

  // Runs until the next nested call, or to the end.
  void call(std::size_t I, std::size_t Entry, std::size_t Server, int Made,
            bool Measured) {
    const ReplayRoute &Route = Routes[I];
    const double Part = seconds(RunTime) / (Route.Calls + 1);
    at(Now + Part, [this, I, Entry, Server, Made, Measured] {
      const ReplayRoute &Own = Routes[I];
      if (Made == Own.Calls) {
        end(I, Entry, Server, false, Measured);
      } else if (!takeToken(Own.Called)) {
        end(I, Entry, Server, true, Measured);
      } else {
        call(I, Entry, Server, Made + 1, Measured);
      }
    });
  }

  bool takeToken(std::size_t Called) {
    Bucket &From = Buckets[Called];
    const double PerSecond = Capacity(Called, Now);
    From.Tokens = std::min(From.Tokens + (Now - From.Filled) * PerSecond,
                           std::max(1.0, 0.05 * PerSecond));
    From.Filled = Now;
    if (From.Tokens < 1 ||
        std::uniform_real_distribution<>(0, 1)(Random) < AlwaysRejected) {
      return false;
    }
    From.Tokens -= 1;
    return true;
  }

  void end(std::size_t I, std::size_t Entry, std::size_t Server, bool Lost,
           bool Measured) {
    const std::string &Name = Routes[I].Name;
    countRun(Windows[Server], Name, Lost, time(Now));
    if (Now < ReportsUntil) {
      onRouteCounts(Nodes[Entry], Name, Server + 1,
                    countsOf(Windows[Server], Name, time(Now)), time(Now));
    }
    Results[I].Lost += Measured && Lost ? 1 : 0;
    Results[I].Answered += Measured && !Lost ? 1 : 0;
  }

  RandomEngine Random;
  std::priority_queue<Event> Events;
  std::uint64_t Order = 0;
  double Now = 0;
  std::vector<RouteAdmissionState> Nodes;
  std::vector<RouteLossWindow> Windows;
  std::vector<Bucket> Buckets = std::vector<Bucket>(4);
  std::vector<ReplayResult> Results;
};

} // namespace magnolia::policy::test

#endif
