#ifndef LOOPBACK_RELAY_H
#define LOOPBACK_RELAY_H

#include "caller_client.h"

namespace magnolia::bench {

// Copies bytes between connections to Listen and new ones to Target until the
// process ends. Two such relays in a row give the floor of the added latency: a
// path with two more hops that only copies bytes. Returns an exit status if it
// can't listen.
int relay(const Endpoint &Listen, const Endpoint &Target);

} // namespace magnolia::bench

#endif
