#ifndef LOOPBACK_RUN_H
#define LOOPBACK_RUN_H

#include "options.h"

namespace magnolia::bench {

// Runs one deployment with one fault and prints a line per measure. Returns
// true where every bound was held.
bool runLoopback(const Options &Given);

} // namespace magnolia::bench

#endif
