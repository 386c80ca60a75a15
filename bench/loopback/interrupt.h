#ifndef LOOPBACK_INTERRUPT_H
#define LOOPBACK_INTERRUPT_H

#include <chrono>
#include <stdexcept>

namespace magnolia::bench {

// Thrown out of a pause after SIGINT or SIGTERM, so that the run ends through
// its destructors.
struct Interrupted : std::runtime_error {
  Interrupted() : std::runtime_error("interrupted") {}
};

// Takes SIGINT and SIGTERM from now on.
void takeInterrupts();

void pauseUntil(std::chrono::steady_clock::time_point End);
void pauseFor(std::chrono::milliseconds Time);

} // namespace magnolia::bench

#endif
