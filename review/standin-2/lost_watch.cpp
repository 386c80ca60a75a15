#include "deployment.h"

#include <map>
#include <set>

// Responses of the store are lost for some seconds while manifests come in
// quick succession. Once the store is calm again, another manifest moves a
// route to another service, and a zone is evacuated.

namespace {

using namespace review;

// platform_lost: share 0.35 of the answers for 4.5 s. config_storm: a manifest
// each 0.33 s for 4 s. Both as in the site file.
constexpr std::uint64_t LostOneIn = 3;
constexpr auto LossTime = Milliseconds(4500);
constexpr auto StormTime = Milliseconds(4000);
constexpr auto StormGap = Milliseconds(330);

// Bounds of the site.
constexpr auto Contact = Milliseconds(3000);
constexpr auto ConfigApply = Milliseconds(2000);
constexpr auto Evacuate = Milliseconds(5000);

constexpr auto ObservedTime = Milliseconds(20'000);
constexpr auto RequestTime = Milliseconds(1200);
constexpr auto StartTime = Milliseconds(40'000);

const std::vector<Machine> &machines() {
  static const std::vector<Machine> Fes = {
      {.Zone = "fes-a", .Service = "catalogue"},
      {.Zone = "fes-a", .Service = "catalogue"},
      {.Zone = "fes-a", .Service = "atelier"},
      {.Zone = "fes-a", .Service = "atelier"},
      {.Zone = "fes-a", .Service = "commandes"},
      {.Zone = "fes-b", .Service = "catalogue"},
      {.Zone = "fes-b", .Service = "catalogue"},
      {.Zone = "fes-b", .Service = "atelier"},
      {.Zone = "fes-b", .Service = "commandes"},
      {.Zone = "fes-c", .Service = "catalogue"},
      {.Zone = "fes-c", .Service = "atelier"},
      {.Zone = "fes-c", .Service = "commandes"},
  };
  return Fes;
}

// Loses each third response to each machine while it is switched on.
class LostResponses {
public:
  [[nodiscard]] bool loses(const std::string &Caller) {
    const std::lock_guard Lock(Mutex);
    return On && ++Counts[Caller] % LostOneIn == 0;
  }
  void set(bool Given) {
    const std::lock_guard Lock(Mutex);
    On = Given;
  }

private:
  std::mutex Mutex;
  bool On = false;
  std::map<std::string, std::uint64_t> Counts;
};

std::size_t countRuns(const Deployment &Fleet, const std::string &Zone,
                      TimePoint After) {
  std::size_t Count = 0;
  for (std::size_t I = 0; I < Fleet.size(); ++I) {
    if (Fleet.zone(I) != Zone) {
      continue;
    }
    for (const Run &Next : Fleet.upstream(I).runs()) {
      Count += Next.At > After ? 1 : 0;
    }
  }
  return Count;
}

Verdict check(Deployment &Fleet, LostResponses &Losses, bool Trouble,
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
  for (const Machine &Next : machines()) {
    (void)Fleet.add(Next);
  }
  if (!Fleet.awaitReady({Lookup, Booking, Check}, StartTime)) {
    Lines.add("not run   the deployment did not become ready");
    return Verdict::NotRun;
  }
  std::this_thread::sleep_for(Contact);

  Lines.add(Trouble ? "trouble   responses of the store are lost"
                    : "trouble   none");
  Losses.set(Trouble);
  const TimePoint Start = Clock::now();
  while (Clock::now() < Start + StormTime) {
    Lookup.TimeoutSeconds = Lookup.TimeoutSeconds < 1.3 ? 1.4 : 1.2;
    Fleet.writeManifest({Lookup, Booking, Check});
    std::this_thread::sleep_for(StormGap);
  }
  std::this_thread::sleep_until(Start + LossTime);
  Losses.set(false);
  Lines.add("trouble   over");
  std::this_thread::sleep_for(Contact + Milliseconds(500));

  // The core has been stable for contact_s.
  Lookup.Service = "atelier";
  const Route Added{
      .Name = "r-added", .Prefix = "/added/", .Service = "commandes"};
  const TimePoint Moved = Fleet.writeManifest({Lookup, Booking, Check, Added});
  const TimePoint EvacuatedAt = Clock::now();
  Fleet.store().put("op/evacuate/fes-c", "{}");
  Lines.add("operator  evacuation of fes-c acknowledged");
  std::this_thread::sleep_until(Moved + ConfigApply + Milliseconds(100));
  std::size_t Old = 0;
  std::size_t Refused = 0;
  std::size_t Sent = 0;
  const TimePoint End = Clock::now() + ObservedTime;
  while (Clock::now() < End) {
    for (std::size_t I = 0; I < Fleet.size(); ++I) {
      const Response First = Fleet.request(I, Lookup, "GET", RequestTime);
      Old += First.Status == 200 && First.Body.starts_with("catalogue") ? 1 : 0;
      const Response Second = Fleet.request(I, Added, "GET", RequestTime);
      Refused += Second.Status == 404 ? 1 : 0;
      Sent += 2;
    }
    std::this_thread::sleep_for(Milliseconds(200));
  }
  const std::size_t Late = countRuns(Fleet, "fes-c", EvacuatedAt + Evacuate);
  Lines.add("result    of " + std::to_string(Sent) + " requests " +
            std::to_string(Old) + " were run by the old service and " +
            std::to_string(Refused) + " were refused with 404; " +
            std::to_string(Late) +
            " reached the evacuated zone after evacuate_s");
  return Old + Refused + Late > 0 ? Verdict::Broken : Verdict::Held;
}

} // namespace

int main(int Count, char **Arguments) {
  const CaseOptions Given = readOptions(Count, Arguments);
  if (Given.Root.empty()) {
    return static_cast<int>(Verdict::NotRun);
  }
  Record Lines(Given.Folder + "/record.txt");
  LostResponses Losses;
  Deployment Fleet(Given, Lines,
                   {.Loses = [&Losses](const std::string &Caller) {
                     return Losses.loses(Caller);
                   }});
  return static_cast<int>(check(Fleet, Losses, Given.Trouble, Lines));
}
