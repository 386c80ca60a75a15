#ifndef LOOPBACK_DEMO_H
#define LOOPBACK_DEMO_H

#include "options.h"

namespace magnolia::bench {

// Shows the promises on a running deployment, one step after the other, and
// prints a table. Returns true where every bound was held.
bool runDemo(const Options &Given);

} // namespace magnolia::bench

#endif
