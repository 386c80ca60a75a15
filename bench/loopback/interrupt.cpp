#include "interrupt.h"

#include <algorithm>
#include <csignal>
#include <thread>

namespace magnolia::bench {

namespace {

volatile std::sig_atomic_t Stopped = 0;

void noteInterrupt(int) { Stopped = 1; }

} // namespace

void takeInterrupts() {
  struct sigaction Action {};
  Action.sa_handler = noteInterrupt;
  sigaction(SIGINT, &Action, nullptr);
  sigaction(SIGTERM, &Action, nullptr);
  Action.sa_handler = SIG_IGN;
  sigaction(SIGPIPE, &Action, nullptr);
}

void pauseUntil(std::chrono::steady_clock::time_point End) {
  constexpr auto Check = std::chrono::milliseconds(50);
  while (true) {
    if (Stopped != 0) {
      throw Interrupted();
    }
    const auto Now = std::chrono::steady_clock::now();
    if (Now >= End) {
      return;
    }
    std::this_thread::sleep_until(std::min(End, Now + Check));
  }
}

void pauseFor(std::chrono::milliseconds Time) {
  pauseUntil(std::chrono::steady_clock::now() + Time);
}

} // namespace magnolia::bench
