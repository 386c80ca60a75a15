#ifndef BACKEND_CONNECTION_H
#define BACKEND_CONNECTION_H

#include <chrono>

namespace magnolia::standin {

enum class WaitEnd { Elapsed, Closed };

// Waits for the time or until the other end closes the connection.
[[nodiscard]] WaitEnd waitOrClosed(int Socket, std::chrono::nanoseconds Time);

// Breaks the connection at once in both directions.
void breakConnection(int Socket);

// Breaks every accepted connection of a listening port but one.
void breakConnections(int LocalPort, int KeptSocket);

} // namespace magnolia::standin

#endif
