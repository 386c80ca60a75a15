#ifndef LOOPBACK_INTERRUPT_H
#define LOOPBACK_INTERRUPT_H

#include <chrono>
#include <stdexcept>

namespace magnolia::bench {

// Thrown from a pause after SIGINT or SIGTERM, so that destructors stop the
// run's processes.
struct Interrupted : std::runtime_error {
  Interrupted() : std::runtime_error("interrupted") {}
};

// Installs handlers for SIGINT and SIGTERM and ignores SIGPIPE.
void takeInterrupts();

void pauseUntil(std::chrono::steady_clock::time_point End);
void pauseFor(std::chrono::milliseconds Time);

} // namespace magnolia::bench

#endif
