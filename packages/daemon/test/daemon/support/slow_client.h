#ifndef DAEMON_TEST_SUPPORT_SLOW_CLIENT_H
#define DAEMON_TEST_SUPPORT_SLOW_CLIENT_H

#include "daemon/net/clock.h"
#include "daemon/net/socket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <chrono>
#include <cstdint>

namespace magnolia::daemon::test {

// Time for a reset by the server to reach the client.
inline constexpr std::chrono::milliseconds ResetTime{300};

// Opens a connection whose receive buffer takes only a part of a large
// response, so that the rest is still on its way until the client reads.
inline UniqueFd connectWithSmallWindow(std::uint16_t Port) {
  constexpr int WindowBytes = 4096;
  UniqueFd Fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  setsockopt(Fd.fd(), SOL_SOCKET, SO_RCVBUF, &WindowBytes, sizeof WindowBytes);
  sockaddr_in Server{};
  Server.sin_family = AF_INET;
  Server.sin_port = htons(Port);
  inet_pton(AF_INET, "127.0.0.1", &Server.sin_addr);
  if (::connect(Fd.fd(), reinterpret_cast<const sockaddr *>(&Server),
                sizeof Server) != 0) {
    return {};
  }
  return Fd;
}

// Waits for a reset of the connection, which a correct server does not send.
// Returns true if it came.
inline bool isReset(int Fd) {
  pollfd Entry{.fd = Fd, .events = 0, .revents = 0};
  return waitReady({&Entry, 1}, now() + ResetTime, {}) &&
         (Entry.revents & POLLERR) != 0;
}

} // namespace magnolia::daemon::test

#endif
