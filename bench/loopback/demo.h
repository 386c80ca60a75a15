#ifndef LOOPBACK_DEMO_H
#define LOOPBACK_DEMO_H

#include "options.h"

namespace magnolia::bench {

// Checks the guarantees on a running deployment step by step and prints a
// table. Returns true if every bound was met.
bool runDemo(const Options &Given);

} // namespace magnolia::bench

#endif
