#ifndef POLICY_TEST_ROUTE_UPLOAD_REPLAY_H
#define POLICY_TEST_ROUTE_UPLOAD_REPLAY_H

#include "policy/link/received_bytes.h"
#include "policy/probe/next_probe.h"
#include "policy/route/choose.h"
#include "policy/route/feedback.h"
#include "policy/route/update_candidates.h"

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <random>
#include <vector>

namespace magnolia::policy::test {

// Replays the uploads of one zone with a single server on a narrow link and
// seven servers in other zones: Poisson arrivals at random entry nodes of the
// zone, which learn of the servers from responses and probes only.
class UploadReplay {
public:
  static constexpr std::size_t Servers = 8;
  static constexpr std::size_t Entries = 20;
  static constexpr NodeId Local = 1;
  // Link of 10 Mbit/s, and mean rate and size of the uploads.
  static constexpr double LinkBytesPerSecond = 10e6 / 8;
  static constexpr double UploadsPerSecond = 18;
  static constexpr std::size_t UploadBytes = 60'000;

  struct Result {
    // Mean use of the link of the local server in percent, the largest one of
    // any 10 s, and the share of uploads that found more than the connect
    // timeout of 250 ms queued before the link of their server.
    double MeanUse = 0;
    double LargestUse = 0;
    double Delayed = 0;
    // Uploads of each server; index 0 is unused.
    std::array<int, Servers + 1> Uploads{};
    // Largest number of uploads that one server of another zone got within a
    // second.
    int LargestBurst = 0;
  };

  UploadReplay(bool Aware, std::uint64_t Seed) : Aware(Aware), Random(Seed) {
    std::vector<CandidateSpec> Specs;
    for (NodeId Node = 1; Node <= Servers; ++Node) {
      Specs.push_back({.Node = Node, .Run = 1, .Distance = distance(Node)});
    }
    for (Entry &Next : EntryNodes) {
      Next.Route.Options.FarFactor = 6;
      updateCandidates(Next.Route, Specs, Now);
    }
  }

  [[nodiscard]] Result run(std::chrono::seconds Length) {
    End = Now + Length;
    const TimePoint Begin = Now;
    scheduleUpload();
    for (Entry &Next : EntryNodes) {
      schedule(Now + inSeconds(uniform() / 10), [&] { probe(Next); });
    }
    while (!Events.empty() && Events.begin()->first < End) {
      const auto Next = Events.extract(Events.begin());
      Now = Next.key();
      Next.mapped()();
    }
    return summary(Begin);
  }

private:
  struct Entry {
    RouteState Route;
    ProbeBudget Probes;
  };
  struct Server {
    TimePoint LinkFreeAt{};
    ReceivedBytes Received;
    std::uint32_t InFlight = 0;
    std::vector<TimePoint> Arrivals;
  };

  static Duration inSeconds(double Seconds) {
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(Seconds));
  }
  static Duration distance(NodeId Node) {
    return Node == Local ? Duration{0} : std::chrono::microseconds(4'400);
  }
  double uniform() {
    return std::uniform_real_distribution<double>(0, 1)(Random);
  }
  void schedule(TimePoint At, std::function<void()> Action) {
    Events.emplace(At, std::move(Action));
  }

  void scheduleUpload() {
    const Duration Pause = inSeconds(
        std::exponential_distribution<double>(UploadsPerSecond)(Random));
    schedule(Now + Pause, [this] {
      upload(EntryNodes[Random() % Entries]);
      scheduleUpload();
    });
  }

  void upload(Entry &From) {
    Error LastError;
    recordRequest(From.Probes, Now);
    const NodeId Node =
        *choose(From.Route, {.LargeBody = true, .WorkloadAware = Aware}, Now,
                Random, LastError);
    const Dispatch Sent = onDispatch(From.Route, Node, Now);
    Server &To = Targets[Node];
    To.Arrivals.push_back(Now);
    Delayed += To.LinkFreeAt - Now > std::chrono::milliseconds(250) ? 1 : 0;
    constexpr std::size_t Piece = 15'000;
    for (std::size_t Left = UploadBytes; Left > 0; Left -= Piece) {
      To.LinkFreeAt = std::max(To.LinkFreeAt, Now + distance(Node) / 2) +
                      inSeconds(Piece / LinkBytesPerSecond);
      schedule(To.LinkFreeAt,
               [this, &To] { recordReceived(To.Received, Piece, Now); });
    }
    schedule(To.LinkFreeAt, [this, &From, Sent] { work(From, Sent); });
  }

  void work(Entry &From, const Dispatch &Sent) {
    ++Targets[Sent.Node].InFlight;
    schedule(Now + inSeconds(0.1 + 0.06 * uniform()), [this, &From, Sent] {
      --Targets[Sent.Node].InFlight;
      schedule(Now + distance(Sent.Node) / 2,
               [this, &From, Sent, Load = report(Sent.Node)] {
                 onResponse(From.Route, Sent, {.Load = Load}, Now);
               });
    });
  }

  void probe(Entry &From) {
    if (const auto Node = nextProbe(From.Probes, From.Route, Now, Random)) {
      schedule(Now + distance(*Node) / 2, [this, &From, Node = *Node] {
        schedule(Now + distance(Node) / 2,
                 [this, &From, Node, Load = report(Node)] {
                   onReport(From.Route, Node, Load, Now);
                 });
      });
    }
    schedule(Now + std::chrono::milliseconds(100), [&] { probe(From); });
  }

  LoadReport report(NodeId Node) const {
    const Server &Asked = Targets[Node];
    return {.InFlight = Asked.InFlight,
            .Limit = 9,
            .Latency = std::chrono::milliseconds(130),
            .LinkUsePercent =
                linkUsePercent(Asked.Received, LinkBytesPerSecond, Now)};
  }

  static int countBetween(const Server &Asked, TimePoint From, TimePoint To) {
    return static_cast<int>(
        std::count_if(Asked.Arrivals.begin(), Asked.Arrivals.end(),
                      [&](TimePoint At) { return From <= At && At < To; }));
  }
  // Use of the link of the local server in percent by the uploads of a window.
  double localUse(TimePoint From, TimePoint To) const {
    constexpr double Percent = 100;
    return countBetween(Targets[Local], From, To) * Percent * UploadBytes /
           LinkBytesPerSecond /
           std::chrono::duration<double>(To - From).count();
  }
  Result summary(TimePoint Begin) const {
    Result Found{.MeanUse = localUse(Begin, End)};
    constexpr std::chrono::seconds Window(10);
    int Total = 0;
    for (NodeId Node = 1; Node <= Servers; ++Node) {
      Found.Uploads[Node] = countBetween(Targets[Node], Begin, End);
      Total += Found.Uploads[Node];
    }
    for (TimePoint At = Begin; At + Window <= End;
         At += std::chrono::milliseconds(500)) {
      Found.LargestUse = std::max(Found.LargestUse, localUse(At, At + Window));
      for (NodeId Node = 2; Node <= Servers; ++Node) {
        Found.LargestBurst = std::max(
            Found.LargestBurst,
            countBetween(Targets[Node], At, At + std::chrono::seconds(1)));
      }
    }
    Found.Delayed = static_cast<double>(Delayed) / Total;
    return Found;
  }

  const bool Aware;
  RandomEngine Random;
  TimePoint Now{std::chrono::seconds(100)};
  TimePoint End{};
  std::array<Entry, Entries> EntryNodes;
  std::array<Server, Servers + 1> Targets;
  std::multimap<TimePoint, std::function<void()>> Events;
  int Delayed = 0;
};

} // namespace magnolia::policy::test

#endif
