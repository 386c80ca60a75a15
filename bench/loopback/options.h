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
  // Mean time that a request takes in a backend server; 0 chooses by fault.
  int ServiceTimeUs = 0;
  // Shows a zone leaving and returning, a move done and one rolled back.
  bool Demo = false;
  // Nodes take their routes from the settings; there is no control traffic.
  bool StaticRoutes = false;
  // Keeps the temporary folder with settings and logs.
  bool Keep = false;
  // Root of the build, where the programs are.
  std::filesystem::path Build;
  // Set for a relay process of the latency floor: listen at, connect to.
  std::string RelayListen;
  std::string RelayTarget;
};

// Mean service time of a run. Faults that are about cold starts need calls that
// overlap, or the limit of a cold server is never reached.
[[nodiscard]] int serviceTimeUs(const Options &Given);

// Options from the command line; on a mistake, none and a message.
[[nodiscard]] std::optional<Options> parseOptions(std::span<char *> Arguments,
                                                  std::string &LastError);

} // namespace magnolia::bench

#endif
