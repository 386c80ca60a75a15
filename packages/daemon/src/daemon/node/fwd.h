#ifndef DAEMON_NODE_FWD_H
#define DAEMON_NODE_FWD_H

namespace magnolia::daemon {

class Node;
class SettingsWatch;

} // namespace magnolia::daemon

#endif
