#ifndef DAEMON_LINK_FWD_H
#define DAEMON_LINK_FWD_H

namespace magnolia::daemon {

class LinkPacer;
class LinkTransfer;

} // namespace magnolia::daemon

#endif
