#ifndef DAEMON_DIALECT_FWD_H
#define DAEMON_DIALECT_FWD_H

namespace magnolia::daemon {

struct BackendHealth;
struct Dialect;
struct HeaderNames;

} // namespace magnolia::daemon

#endif
