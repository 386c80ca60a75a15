#include "deployment.h"

#include <set>

// The store turns a third of the machines away and serves the others and the
// operator. The machines are those that wait for changes of the manifest.

namespace {

using namespace review;

// platform_down nodes: share 0.35 of the machines for 9 s, as in the site file.
constexpr double LargestShare = 0.35;
constexpr auto RefusalTime = Milliseconds(9000);

// Bounds of the site.
constexpr auto Contact = Milliseconds(3000);
constexpr auto ConfigApply = Milliseconds(2000);
constexpr auto MaxStretch = Milliseconds(5000);

constexpr auto RequestTime = Milliseconds(1200);
constexpr auto StartTime = Milliseconds(40'000);
constexpr int MachinesOfService = 2;

// Machines that are turned away now.
class RefusedMachines {
public:
  [[nodiscard]] bool contains(const std::string &Address) {
    const std::lock_guard Lock(Mutex);
    return Addresses.contains(Address);
  }
  void set(std::set<std::string> Given) {
    const std::lock_guard Lock(Mutex);
    Addresses = std::move(Given);
  }

private:
  std::mutex Mutex;
  std::set<std::string> Addresses;
};

struct Counts {
  std::size_t Sent = 0;
  std::size_t Old = 0;
  std::size_t Refused = 0;
};

// Sends requests to all machines that the store serves until the given time.
Counts sendRequests(Deployment &Fleet, const std::set<std::string> &Refused,
                    const Route &Moved, const Route &Added, TimePoint Until) {
  Counts Seen;
  while (Clock::now() < Until) {
    for (std::size_t I = 0; I < Fleet.size() && Clock::now() < Until; ++I) {
      if (Refused.contains(Fleet.address(I))) {
        continue;
      }
      const Response First = Fleet.request(I, Moved, "GET", RequestTime);
      const Response Second = Fleet.request(I, Added, "GET", RequestTime);
      Seen.Old +=
          First.Status == 200 && First.Body.starts_with("catalogue") ? 1 : 0;
      Seen.Refused += Second.Status == 404 ? 1 : 0;
      Seen.Sent += 2;
    }
  }
  return Seen;
}

Verdict check(Deployment &Fleet, RefusedMachines &Refused, bool Trouble,
              Record &Lines) {
  Route Lookup{
      .Name = "r-lookup", .Prefix = "/lookup/", .Service = "catalogue"};
  const Route Booking{
      .Name = "r-booking", .Prefix = "/booking/", .Service = "atelier"};
  const Route Check{
      .Name = "r-check", .Prefix = "/check/", .Service = "commandes"};
  if (!Fleet.startStore()) {
    return Verdict::NotRun;
  }
  Fleet.writeManifest({Lookup, Booking, Check});
  for (const char *Zone : {"fes-a", "fes-b", "fes-c"}) {
    for (const char *Service : {"catalogue", "atelier", "commandes"}) {
      for (int I = 0; I < MachinesOfService; ++I) {
        (void)Fleet.add({.Zone = Zone, .Service = Service});
      }
    }
  }
  if (!Fleet.awaitReady({Lookup, Booking, Check}, StartTime)) {
    Lines.add("not run   the deployment did not become ready");
    return Verdict::NotRun;
  }
  std::this_thread::sleep_for(Contact);

  const std::set<std::string> Chosen = Fleet.store().watchers();
  const bool IsWithinShare =
      !Chosen.empty() && static_cast<double>(Chosen.size()) <=
                             LargestShare * static_cast<double>(Fleet.size());
  if (!IsWithinShare) {
    Lines.add("not run   " + std::to_string(Chosen.size()) +
              " machines wait for changes");
    return Verdict::NotRun;
  }
  const TimePoint Start = Clock::now();
  if (Trouble) {
    Refused.set(Chosen);
  }
  for (const std::string &Address : Chosen) {
    Lines.add(
        (Trouble ? "trouble   the store turns away " : "trouble   none for ") +
        Address);
  }
  std::this_thread::sleep_for(Milliseconds(500));
  Lookup.Service = "atelier";
  const Route Added{
      .Name = "r-added", .Prefix = "/added/", .Service = "commandes"};
  const TimePoint Acknowledged =
      Fleet.writeManifest({Lookup, Booking, Check, Added});
  std::this_thread::sleep_until(Acknowledged + ConfigApply);
  const Counts Early = sendRequests(Fleet, Chosen, Lookup, Added,
                                    Acknowledged + ConfigApply + MaxStretch);
  const Counts Late =
      sendRequests(Fleet, Chosen, Lookup, Added, Start + RefusalTime);
  Refused.set({});
  Lines.add("trouble   over");
  for (const auto &[Name, Seen] :
       {std::pair("config_apply_s", Early),
        std::pair("config_apply_s + max_stretch_s", Late)}) {
    Lines.add("result    later than " + std::string(Name) + ": of " +
              std::to_string(Seen.Sent) + " requests " +
              std::to_string(Seen.Old) + " were run by the old service and " +
              std::to_string(Seen.Refused) + " were refused with 404");
  }
  return Late.Old + Late.Refused > 0 ? Verdict::Broken : Verdict::Held;
}

} // namespace

int main(int Count, char **Arguments) {
  const CaseOptions Given = readOptions(Count, Arguments);
  if (Given.Root.empty()) {
    return static_cast<int>(Verdict::NotRun);
  }
  Record Lines(Given.Folder + "/record.txt");
  RefusedMachines Refused;
  Deployment Fleet(Given, Lines,
                   {.Refuses =
                        [&Refused](const std::string &Caller) {
                          return Refused.contains(Caller);
                        },
                    .Loses = {}});
  return static_cast<int>(check(Fleet, Refused, Given.Trouble, Lines));
}
