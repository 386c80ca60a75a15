#ifndef DAEMON_MEMORY_RELEASE_BUFFER_H
#define DAEMON_MEMORY_RELEASE_BUFFER_H

#include <string>

namespace magnolia::daemon {

// Empties a buffer and frees its memory, which an assignment would keep.
inline void releaseBuffer(std::string &Buffer) { std::string().swap(Buffer); }

} // namespace magnolia::daemon

#endif
