#include "deployment.h"

#include <algorithm>
#include <nlohmann/json.hpp>

// A service with many routes moves to a bad version, which fails on one route
// only. The route, whose requests may not be repeated, is added by a manifest
// while the roll-out goes on.

namespace {

using namespace review;

// Largest duration of a roll-out in the site file, and bounds of the site.
constexpr double DurationSeconds = 16;
constexpr double ExposeShare = 0.1;
constexpr std::size_t BadVersionSlack = 50;

constexpr int UsedRoutes = 80;
constexpr auto UntilRoute = Milliseconds(2000);
constexpr auto RequestTime = Milliseconds(1000);
constexpr auto RequestGap = Milliseconds(20);
constexpr auto StartTime = Milliseconds(40'000);
constexpr int ClientsOfNode = 2;
// One request in so many goes to the added route.
constexpr std::size_t AddedOneIn = 3;
constexpr int ServerError = 500;

const Route &addedRoute() {
  static const Route Added{.Name = "r-added",
                           .Prefix = "/added/",
                           .Service = "catalogue",
                           .Idempotent = false};
  return Added;
}

std::vector<Route> usedRoutes() {
  std::vector<Route> Routes;
  Routes.reserve(UsedRoutes);
  for (int Number = 0; Number < UsedRoutes; ++Number) {
    Routes.push_back({.Name = "r-" + std::to_string(Number),
                      .Prefix = "/part" + std::to_string(Number) + "/",
                      .Service = "catalogue"});
  }
  return Routes;
}

// Sends requests of clients on the machine until it is told to stop.
void sendRequests(Deployment &Fleet, std::size_t Machine, std::size_t First,
                  const std::atomic<bool> &HasAdded,
                  const std::atomic<bool> &Stopping) {
  const std::vector<Route> Routes = usedRoutes();
  for (std::size_t Number = First; !Stopping; ++Number) {
    const bool ToAdded = HasAdded && Number % AddedOneIn == 0;
    const Route &To = ToAdded ? addedRoute() : Routes[Number % Routes.size()];
    (void)Fleet.request(Machine, To, To.Idempotent ? "GET" : "POST",
                        RequestTime);
    std::this_thread::sleep_for(RequestGap);
  }
}

std::string stateOf(Deployment &Fleet) {
  const auto Status = nlohmann::json::parse(
      Fleet.store().value("status/rollout/catalogue"), nullptr, false);
  return Status.is_object() ? Status.value("state", "") : std::string();
}

struct Exposure {
  std::size_t All = 0;
  std::size_t New = 0;
  std::size_t Failed = 0;
};

Exposure countRuns(const Deployment &Fleet, TimePoint From, TimePoint Until) {
  Exposure Seen;
  for (std::size_t I = 0; I < Fleet.size(); ++I) {
    for (const Run &Next : Fleet.upstream(I).runs()) {
      if (Next.At < From || Next.At > Until) {
        continue;
      }
      ++Seen.All;
      Seen.New += Next.Version == "v2" ? 1 : 0;
      Seen.Failed += Next.Status == ServerError ? 1 : 0;
    }
  }
  return Seen;
}

Verdict check(Deployment &Fleet, bool Trouble, Record &Lines) {
  std::vector<Route> Routes = usedRoutes();
  if (!Fleet.startStore()) {
    return Verdict::NotRun;
  }
  Fleet.writeManifest(Routes);
  const std::vector<const char *> Zones = {"fes-a", "fes-b", "fes-c"};
  for (const char *Zone : Zones) {
    (void)Fleet.add({.Zone = Zone, .Service = "catalogue"});
  }
  const std::size_t OldMachines = Fleet.size();
  if (!Fleet.awaitReady({Routes.front()}, StartTime)) {
    Lines.add("not run   the deployment did not become ready");
    return Verdict::NotRun;
  }
  std::atomic<bool> HasAdded = false;
  std::atomic<bool> Stopping = false;
  std::vector<std::thread> Clients;
  Clients.reserve(OldMachines * ClientsOfNode);
  for (std::size_t I = 0; I < OldMachines * ClientsOfNode; ++I) {
    Clients.emplace_back([&, I] {
      sendRequests(Fleet, I % OldMachines, I * UsedRoutes / ClientsOfNode,
                   HasAdded, Stopping);
    });
  }
  std::this_thread::sleep_for(Milliseconds(3500));

  const nlohmann::json Order = {{"service", "catalogue"},
                                {"target_version", "v2"},
                                {"duration_s", DurationSeconds}};
  Fleet.store().put("op/rollout/catalogue", Order.dump());
  const TimePoint Ordered = Clock::now();
  Lines.add("operator  roll-out of catalogue to v2 ordered");
  for (const char *Zone : Zones) {
    Machine Added{.Zone = Zone, .Service = "catalogue", .Version = "v2"};
    if (Trouble) {
      Added.Upstream.StatusOf = [](const std::string &Target) {
        return Target.starts_with(addedRoute().Prefix) ? ServerError : 200;
      };
    }
    (void)Fleet.add(Added);
  }
  std::this_thread::sleep_until(Ordered + UntilRoute);
  Routes.push_back(addedRoute());
  Fleet.writeManifest(Routes);
  std::this_thread::sleep_for(Milliseconds(500));
  HasAdded = true;
  const TimePoint End =
      Ordered + Milliseconds(static_cast<int>(DurationSeconds * 1000));
  std::string State;
  while (Clock::now() < End) {
    if (const std::string Next = stateOf(Fleet); Next != State) {
      State = Next;
      Lines.add("status    roll-out of catalogue " + State);
    }
    std::this_thread::sleep_for(Milliseconds(50));
  }
  Stopping = true;
  for (std::thread &Next : Clients) {
    Next.join();
  }
  const Exposure Seen = countRuns(Fleet, Ordered, End);
  const std::size_t Allowed =
      static_cast<std::size_t>(ExposeShare * static_cast<double>(Seen.All)) +
      BadVersionSlack;
  Lines.add("result    v2 got " + std::to_string(Seen.New) + " of " +
            std::to_string(Seen.All) + " requests (" + std::to_string(Allowed) +
            " allowed if it is bad), " + std::to_string(Seen.Failed) +
            " failed; roll-out " + State);
  if (Seen.All == 0 || (Trouble && Seen.Failed == 0)) {
    return Verdict::NotRun;
  }
  return Trouble && Seen.New > Allowed ? Verdict::Broken : Verdict::Held;
}

} // namespace

int main(int Count, char **Arguments) {
  const CaseOptions Given = readOptions(Count, Arguments);
  if (Given.Root.empty()) {
    return static_cast<int>(Verdict::NotRun);
  }
  Record Lines(Given.Folder + "/record.txt");
  Deployment Fleet(Given, Lines, {});
  return static_cast<int>(check(Fleet, Given.Trouble, Lines));
}
