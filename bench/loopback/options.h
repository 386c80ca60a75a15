#ifndef LOOPBACK_OPTIONS_H
#define LOOPBACK_OPTIONS_H

#include <cstdint>
#include <filesystem>
#include <optional>
#include <span>
#include <string>

namespace magnolia::bench {

enum class Fault : std::uint8_t {
  None,
  Slow,
  Cold,
  ZoneOut,
  BadVersion,
  LateBad,
  OneRoute,
  StoreDown,
  Silent,
  Restart,
};

// Command line of the loopback run.
struct Options {
  std::string Deployment = "kyushu";
  Fault Injected = Fault::None;
  int Seconds = 30;
  std::uint64_t Seed = 1;
  double CallsPerSecond = 600;
  // Mean service time of a request; 0 selects it by the fault.
  int ServiceTimeUs = 0;
  // Shows a zone that leaves and returns, a completed rollout and a rolled back
  // one.
  bool Demo = false;
  // Nodes take their routes from the settings, without control traffic.
  bool StaticRoutes = false;
  // Keeps the temporary folder with settings and logs.
  bool Keep = false;
  // Build folder that holds the programs.
  std::filesystem::path Build;
  // Addresses that a relay process of the latency floor listens at and connects
  // to. Only set for such a process.
  std::string RelayListen;
  std::string RelayTarget;
};

// Returns the mean service time of a run. Cold-start faults need overlapping
// calls; otherwise the limit of a cold server is never reached.
[[nodiscard]] int serviceTimeUs(const Options &Given);

// Parses the command line. Returns none and sets LastError if it is invalid.
[[nodiscard]] std::optional<Options> parseOptions(std::span<char *> Arguments,
                                                  std::string &LastError);

} // namespace magnolia::bench

#endif
