#ifndef DAEMON_METRICS_FWD_H
#define DAEMON_METRICS_FWD_H

namespace magnolia::daemon {

class Metrics;

} // namespace magnolia::daemon

#endif
