#include "daemon/control/fleet_records.h"
#include "platform/key_map.h"
#include "platform/manifest_translator.h"

#include <benchmark/benchmark.h>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace magnolia::bench {
namespace {

using Json = nlohmann::json;

constexpr std::size_t Hosts = 10;
constexpr std::size_t Services = 64;
constexpr std::size_t ChangedRoute = 3;

std::string numbered(std::string_view Name, std::size_t Number) {
  return std::string(Name).append(std::to_string(Number));
}

std::string hostOf(std::size_t Route) {
  return numbered("h", Route % Hosts) + ".hinokuni.example";
}

std::string prefixOf(std::size_t Route) {
  constexpr std::uint64_t Multiplier = 0x9E3779B97F4A7C15;
  constexpr std::size_t Digits = 9;
  char Text[Digits] = {};
  // Spreads the prefixes over their alphabet, as names of routes are.
  (void)std::snprintf(Text, sizeof(Text), "%08x",
                      static_cast<unsigned>((Route + 1) * Multiplier >> 32U));
  return std::string("/") + Text + "/";
}

Json targets(std::size_t Route, int Weight) {
  return Json::array(
      {{{"service", numbered("service-", Route % Services)},
        {"weight", Weight}},
       {{"service", numbered("service-", (Route + 1) % Services)},
        {"weight", 100 - Weight}}});
}

// Manifest of an operator. Every fourth route has two services; the weight is
// that of one of them.
std::string manifest(std::size_t Routes, int Weight) {
  Json Document = {{"version", Weight % 2 == 0 ? "0000000a" : "0000000b"},
                   {"limits", {{"idle_timeout_s", 15}}}};
  for (std::size_t Route = 0; Route < Routes; ++Route) {
    Json Fields = {{"host", hostOf(Route)},
                   {"path_prefix", prefixOf(Route)},
                   {"kind", Route % 3 == 0 ? "idempotent" : "non_idempotent"},
                   {"timeout_s", 1.2},
                   {"target_latency_s", 0.5},
                   {"priority", Route % 4},
                   {"max_attempts", 2}};
    if (Route % 4 == 3) {
      Fields["traffic_split"] =
          targets(Route, Route == ChangedRoute ? Weight : 50);
    } else {
      Fields["service"] = numbered("service-", Route % Services);
    }
    Document["routes"][numbered("route-", Route)] = std::move(Fields);
  }
  for (std::size_t Service = 0; Service < Services; ++Service) {
    Document["services"][numbered("service-", Service)] = {
        {"health_path", "/health"},
        {"max_connections", 220},
        {"cold_start_s", 3.0},
        {"cold_per_s", 19.0}};
  }
  return Document.dump();
}

store::WatchEvent event(std::size_t Routes, int Weight) {
  return {
      .Key = "op/config", .Value = manifest(Routes, Weight), .ModRevision = 1};
}

policy::ConfigEntry entry(std::size_t Routes, int Weight) {
  auto Translated = platform::translate(event(Routes, Weight));
  return {.Key = std::move(Translated->Key),
          .Revision = 1,
          .Value = std::move(Translated->Value)};
}

void apply(daemon::FleetRecords &Records, const policy::ConfigEntry &Entry) {
  policy::Error LastError;
  if (!daemon::applyEntry(Records, Entry, policy::TimePoint(), LastError)) {
    std::cerr << "the table was rejected: " << LastError.Detail << "\n";
    std::exit(1);
  }
}

// A watcher of the store converts the operator's manifest.
void translateManifest(benchmark::State &Bench) {
  const store::WatchEvent Event =
      event(static_cast<std::size_t>(Bench.range(0)), 50);
  std::size_t Bytes = 0;
  while (Bench.KeepRunning()) {
    Bytes = platform::translate(Event)->Value.size();
  }
  Bench.counters["manifest_bytes"] = static_cast<double>(Event.Value.size());
  Bench.counters["table_bytes"] = static_cast<double>(Bytes);
}

// The same for a manifest that differs from the last one in one route.
void translateOneChange(benchmark::State &Bench) {
  const auto Routes = static_cast<std::size_t>(Bench.range(0));
  const store::WatchEvent Versions[] = {event(Routes, 50), event(Routes, 51)};
  platform::ManifestTranslator Manifests;
  benchmark::DoNotOptimize(platform::translate(Versions[0], Manifests));
  std::size_t Next = 1;
  while (Bench.KeepRunning()) {
    benchmark::DoNotOptimize(platform::translate(Versions[Next], Manifests));
    Next = 1 - Next;
  }
}

// A node without a table receives one.
void applyNewTable(benchmark::State &Bench) {
  const policy::ConfigEntry Entry =
      entry(static_cast<std::size_t>(Bench.range(0)), 50);
  while (Bench.KeepRunning()) {
    daemon::FleetRecords Records;
    apply(Records, Entry);
  }
}

// Each version differs from the one before in the weights of one route and in
// its number.
void applyOneChange(benchmark::State &Bench) {
  const auto Routes = static_cast<std::size_t>(Bench.range(0));
  const policy::ConfigEntry Versions[] = {entry(Routes, 50), entry(Routes, 51)};
  daemon::FleetRecords Records;
  apply(Records, Versions[0]);
  std::size_t Next = 1;
  while (Bench.KeepRunning()) {
    apply(Records, Versions[Next]);
    Next = 1 - Next;
  }
}

void findRoute(benchmark::State &Bench) {
  const auto Routes = static_cast<std::size_t>(Bench.range(0));
  daemon::FleetRecords Records;
  apply(Records, entry(Routes, 50));
  std::vector<std::string> HostNames;
  std::vector<std::string> Paths;
  for (std::size_t Route = 0; Route < Routes; ++Route) {
    HostNames.push_back(hostOf(Route));
    Paths.push_back(prefixOf(Route) + "items/12");
  }
  std::size_t Next = 0;
  while (Bench.KeepRunning()) {
    // Stride that is coprime to the number of routes.
    Next = (Next + 7) % Routes;
    benchmark::DoNotOptimize(
        daemon::findRoute(*Records.Routing, HostNames[Next], Paths[Next]));
  }
}

void sizes(benchmark::internal::Benchmark *Bench) {
  Bench->Arg(10)->Arg(100)->Arg(1'000)->Arg(10'000);
}
BENCHMARK(translateManifest)->Apply(sizes)->Unit(benchmark::kMicrosecond);
BENCHMARK(translateOneChange)->Apply(sizes)->Unit(benchmark::kMicrosecond);
BENCHMARK(applyNewTable)->Apply(sizes)->Unit(benchmark::kMicrosecond);
BENCHMARK(applyOneChange)->Apply(sizes)->Unit(benchmark::kMicrosecond);
BENCHMARK(findRoute)->Apply(sizes)->Unit(benchmark::kNanosecond);

} // namespace
} // namespace magnolia::bench
