#ifndef DAEMON_LOG_FWD_H
#define DAEMON_LOG_FWD_H

namespace magnolia::daemon {

struct LogField;

} // namespace magnolia::daemon

#endif
