#include "standin_store/store_server.h"

#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <getopt.h>

namespace {

constexpr int UsageError = 2;
constexpr std::size_t ServerThreads = 256;

constexpr const char *Usage =
    "usage: standin-store [--address ADDRESS] --port PORT\n"
    "Stand-in for the key-value store, in memory. POST /fault\n"
    "{\"mode\": none|down|slow|lose_answers, \"delay_ms\", \"count\"} sets a\n"
    "fault; GET /counters shows the calls.\n";

// Waits for SIGINT or SIGTERM, which every thread must have blocked.
void waitForStop(const sigset_t &Signals) {
  int Signal = 0;
  sigwait(&Signals, &Signal);
}

} // namespace

int main(int Count, char **Arguments) {
  magnolia::standin::StoreServerOptions Options;
  Options.Threads = ServerThreads;
  bool HasPort = false;
  const option Known[] = {{"address", required_argument, nullptr, 'a'},
                          {"port", required_argument, nullptr, 'p'},
                          {"help", no_argument, nullptr, 'h'},
                          {}};
  for (int Option = 0;
       (Option = getopt_long(Count, Arguments, "", Known, nullptr)) != -1;) {
    if (Option == 'a') {
      Options.Address = optarg;
    } else if (Option == 'p') {
      char *End = nullptr;
      const unsigned long Port = std::strtoul(optarg, &End, 10);
      HasPort = *End == '\0' && Port <= UINT16_MAX && End != optarg;
      Options.Port = static_cast<std::uint16_t>(Port);
    } else {
      std::fputs(Usage, Option == 'h' ? stdout : stderr);
      return Option == 'h' ? EXIT_SUCCESS : UsageError;
    }
  }
  if (!HasPort) {
    std::fputs(Usage, stderr);
    return UsageError;
  }
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGINT);
  sigaddset(&Signals, SIGTERM);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  magnolia::standin::StoreServer Server(Options);
  if (!Server.start()) {
    std::fprintf(stderr, "standin-store: cannot listen on %s:%u\n",
                 Options.Address.c_str(), Options.Port);
    return EXIT_FAILURE;
  }
  std::printf("listening on %s:%u\n", Options.Address.c_str(), Server.port());
  std::fflush(stdout);
  waitForStop(Signals);
  Server.stop();
}
