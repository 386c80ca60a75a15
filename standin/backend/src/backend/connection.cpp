#include "backend/connection.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

namespace magnolia::standin {

namespace {

// Range of file descriptors that covers the largest number of connections that
// the options allow.
constexpr int FirstSocket = 3;
constexpr int HighestSocket = 1023;

} // namespace

WaitEnd waitOrClosed(int Socket, std::chrono::nanoseconds Time) {
  if (Time.count() <= 0) {
    return WaitEnd::Elapsed;
  }
  pollfd Poll{.fd = Socket, .events = POLLRDHUP, .revents = 0};
  const timespec Limit{.tv_sec = Time.count() / 1'000'000'000,
                       .tv_nsec = Time.count() % 1'000'000'000};
  const int Ready = ppoll(&Poll, Socket < 0 ? 0 : 1, &Limit, nullptr);
  return Ready > 0 ? WaitEnd::Closed : WaitEnd::Elapsed;
}

void breakConnection(int Socket) {
  if (Socket >= 0) {
    shutdown(Socket, SHUT_RDWR);
  }
}

void breakConnections(int LocalPort, int KeptSocket) {
  for (int Socket = FirstSocket; Socket <= HighestSocket; ++Socket) {
    sockaddr_in Local{};
    socklen_t Length = sizeof Local;
    if (Socket == KeptSocket ||
        getsockname(Socket, reinterpret_cast<sockaddr *>(&Local), &Length) !=
            0 ||
        ntohs(Local.sin_port) != LocalPort) {
      continue;
    }
    sockaddr_in Remote{};
    Length = sizeof Remote;
    // The listening socket has no peer and stays open.
    if (getpeername(Socket, reinterpret_cast<sockaddr *>(&Remote), &Length) ==
        0) {
      breakConnection(Socket);
    }
  }
}

} // namespace magnolia::standin
