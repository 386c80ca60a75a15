#ifndef BACKEND_CONNECTION_H
#define BACKEND_CONNECTION_H

#include <chrono>

namespace magnolia::standin {

enum class WaitEnd { Elapsed, Closed };

// Waits until the time has elapsed or the peer closes the connection.
[[nodiscard]] WaitEnd waitOrClosed(int Socket, std::chrono::nanoseconds Time);

// Shuts the connection down immediately in both directions.
void breakConnection(int Socket);

// Shuts down every accepted connection of a listening port except one.
void breakConnections(int LocalPort, int KeptSocket);

} // namespace magnolia::standin

#endif
