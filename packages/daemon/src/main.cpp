#include "daemon/log/guarded.h"
#include "daemon/node/node.h"
#include "daemon/node/process_signals.h"
#include "daemon/node/settings_watch.h"
#include "daemon/node/start_records.h"
#include "platform/dialect.h"
#include "policy/memory/byte_budget.h"
#include "settings/node/read_settings.h"
#include "wire/seal/cluster_key.h"

#include <getopt.h>
#include <malloc.h>

#include <chrono>
#include <csignal>
#include <cstdio>
#include <exception>
#include <optional>
#include <string>
#include <thread>

namespace {

using namespace magnolia;

constexpr const char *Usage =
    "Usage: magnoliad --config FILE [--check]\n"
    "       magnoliad --print-settings | --version | --help\n"
    "\n"
    "Runs one node of magnoliatray: entry node for callers and sidecar of the\n"
    "backend server beside it.\n"
    "\n"
    "  -c, --config FILE     settings file\n"
    "      --check           check the settings file and exit\n"
    "      --print-settings  print the reference page of all settings\n"
    "      --version         print the version\n"
    "  -h, --help            print this text\n";

// Exit status for a wrong command line, as for other Unix tools.
constexpr int UsageStatus = 2;

struct CommandLine {
  std::string Config;
  bool Check = false;
  // Exit status if the process ends after parsing the command line.
  std::optional<int> Status;
};

CommandLine parseCommandLine(int Count, char **Arguments) {
  enum Long { Check = 256, PrintSettings, Version };
  static constexpr option Options[] = {
      {"config", required_argument, nullptr, 'c'},
      {"check", no_argument, nullptr, Check},
      {"print-settings", no_argument, nullptr, PrintSettings},
      {"version", no_argument, nullptr, Version},
      {"help", no_argument, nullptr, 'h'},
      {nullptr, 0, nullptr, 0}};
  CommandLine Line;
  for (int Word = 0;
       !Line.Status &&
       (Word = getopt_long(Count, Arguments, "c:h", Options, nullptr)) != -1;) {
    switch (Word) {
    case 'c':
      Line.Config = optarg;
      break;
    case Check:
      Line.Check = true;
      break;
    case PrintSettings:
      std::fputs(settings::settingsPage().c_str(), stdout);
      Line.Status = 0;
      break;
    case Version:
      std::puts("magnoliad " MAGNOLIA_VERSION);
      Line.Status = 0;
      break;
    case 'h':
      std::fputs(Usage, stdout);
      Line.Status = 0;
      break;
    default:
      std::fputs(Usage, stderr);
      Line.Status = UsageStatus;
      break;
    }
  }
  if (!Line.Status && (Line.Config.empty() || optind < Count)) {
    std::fputs(Usage, stderr);
    Line.Status = UsageStatus;
  }
  return Line;
}

int fail(const policy::Error &Reason) {
  std::fprintf(stderr, "magnoliad: %s\n", Reason.Detail.c_str());
  return 1;
}

const daemon::Dialect &dialectOf(const settings::NodeSettings &Settings) {
  return Settings.Interface == "platform" ? platform::platformDialect()
                                          : daemon::nativeDialect();
}

// Interval at which the settings file is checked without a signal.
constexpr std::chrono::seconds SettingsInterval{2};

// Reloads changed settings until a signal other than SIGHUP arrives, and
// returns that signal.
int waitForStop(daemon::Node &Node, daemon::SettingsWatch &Watch,
                const daemon::ProcessSignals &Signals) {
  for (;;) {
    const std::optional<int> Signal = Signals.wait(SettingsInterval);
    if (Signal && *Signal != SIGHUP) {
      return *Signal;
    }
    (void)daemon::runGuarded("reload", [&] {
      if (const auto Changed = Watch.check(Signal.has_value())) {
        Node.reload(*Changed);
      }
    });
  }
}

int runNode(settings::NodeSettings Settings, wire::ClusterKey Key,
            const daemon::Dialect &Speaks, daemon::SettingsWatch &Watch,
            std::optional<store::WatchResult> Known,
            const daemon::ProcessSignals &Signals) {
  daemon::Node Node(std::move(Settings), std::move(Key), Speaks,
                    std::move(Known));
  policy::Error LastError;
  if (!Node.start(LastError)) {
    return fail(LastError);
  }
  daemon::log(daemon::LogLevel::Info, "started",
              {{"node", Node.Id},
               {"incarnation", Node.Run},
               {"address", std::string_view(Node.Settings.Address)},
               {"http_port", std::uint64_t{Node.Settings.HttpPort}},
               {"peer_port", std::uint64_t{Node.Settings.PeerPort}}});
  const int Signal = waitForStop(Node, Watch, Signals);
  daemon::log(daemon::LogLevel::Info, "stopping",
              {{"signal", static_cast<std::uint64_t>(Signal)}});
  Node.beginStop();
  std::this_thread::sleep_for(Node.Settings.ShutdownAnnounce -
                              Node.Settings.ShutdownDrain);
  Node.beginDrain();
  std::this_thread::sleep_for(Node.Settings.ShutdownDrain);
  const bool AllEnded = Node.finishStop();
  daemon::log(AllEnded ? daemon::LogLevel::Info : daemon::LogLevel::Warning,
              "stopped", {{"all_requests_ended", AllEnded}});
  return 0;
}

// Gives freed bodies back to the system. By default the C library keeps memory
// of ever larger sizes once it has been freed.
void limitKeptMemory() {
#ifdef __GLIBC__
  constexpr int MappedBytes = 256 * 1024;
  (void)mallopt(M_MMAP_THRESHOLD, MappedBytes);
#endif
}

int run(int Count, char **Arguments) {
  limitKeptMemory();
  const daemon::ProcessSignals Signals;
  const CommandLine Line = parseCommandLine(Count, Arguments);
  if (Line.Status) {
    return *Line.Status;
  }
  policy::Error LastError;
  const auto Text = settings::readSettingsText(Line.Config, LastError);
  auto Settings = Text ? settings::parseSettings(*Text, Line.Config, LastError)
                       : std::nullopt;
  if (!Settings) {
    return fail(LastError);
  }
  const bool KeyInStore = Settings->ClusterKeyFile.empty();
  std::optional<wire::ClusterKey> Key;
  if (!KeyInStore) {
    Key = wire::readClusterKey(Settings->ClusterKeyFile, LastError);
    if (!Key) {
      return fail(LastError);
    }
  }
  if (Line.Check) {
    std::puts("the settings are valid");
    return 0;
  }
  if (!daemon::startLog(daemon::logLevelOf(Settings->LogLevel),
                        Settings->LogFile)) {
    return fail({policy::ErrorKind::BadRequest,
                 "the log file " + Settings->LogFile + " cannot be opened"});
  }
  const daemon::Dialect &Speaks = dialectOf(*Settings);
  if (Speaks.ReadStopGrace) {
    Settings->ShutdownGrace = Speaks.ReadStopGrace(Settings->InterfaceKeys)
                                  .value_or(policy::Duration{});
  }
  if (Speaks.ReadMemoryBytes) {
    if (const auto Memory = Speaks.ReadMemoryBytes(Settings->InterfaceKeys)) {
      Settings->BodyMemory = policy::bodyBytesFor(*Memory);
    }
  }
  if (Speaks.ReadLinkRate) {
    Settings->LinkBytesPerSecond = Speaks.ReadLinkRate(Settings->InterfaceKeys)
                                       .value_or(Settings->LinkBytesPerSecond);
  }
  std::optional<store::WatchResult> Known;
  if (KeyInStore) {
    auto Start = daemon::readStartRecords(
        Speaks.OpenStore(
            {.Address = Settings->Store.Address, .Port = Settings->Store.Port}),
        [&Signals](policy::Duration Time) { return Signals.sleep(Time); },
        Settings->StartJitter);
    if (!Start) {
      daemon::log(daemon::LogLevel::Info, "stopped before the start was done",
                  {});
      return 0;
    }
    Key = std::move(Start->Key);
    Known = std::move(Start->Records);
  }
  daemon::SettingsWatch Watch(Line.Config, *Text);
  return runNode(std::move(*Settings), std::move(*Key), Speaks, Watch,
                 std::move(Known), Signals);
}

} // namespace

int main(int Count, char **Arguments) {
  try {
    return run(Count, Arguments);
  } catch (const std::exception &Reason) {
    std::fprintf(stderr, "magnoliad: unexpected error: %s\n", Reason.what());
    return 1;
  }
}
