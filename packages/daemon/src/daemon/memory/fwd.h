#ifndef DAEMON_MEMORY_FWD_H
#define DAEMON_MEMORY_FWD_H

namespace magnolia::daemon {

class BodyMemory;
class HeldBytes;

} // namespace magnolia::daemon

#endif
