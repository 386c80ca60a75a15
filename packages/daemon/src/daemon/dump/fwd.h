#ifndef DAEMON_DUMP_FWD_H
#define DAEMON_DUMP_FWD_H

namespace magnolia::daemon {

class Dump;
class Entry;
class Sidecar;

} // namespace magnolia::daemon

#endif
