#ifndef DAEMON_ANNOUNCE_FWD_H
#define DAEMON_ANNOUNCE_FWD_H

namespace magnolia::daemon {

class Announcer;
struct AnnouncerOptions;

} // namespace magnolia::daemon

#endif
