#ifndef DAEMON_DIALECT_FWD_H
#define DAEMON_DIALECT_FWD_H

namespace magnolia::daemon {

struct BackendHealth;
struct Dialect;
struct HeaderNames;
struct UsageCall;

} // namespace magnolia::daemon

#endif
