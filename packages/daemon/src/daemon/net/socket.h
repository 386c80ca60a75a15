#ifndef DAEMON_NET_SOCKET_H
#define DAEMON_NET_SOCKET_H

#include "daemon/net/unique_fd.h"
#include "policy/core/error.h"
#include "policy/core/types.h"

#include <poll.h>

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace magnolia::daemon {

// All sockets are non-blocking and have TCP_NODELAY.

// Opens a TCP connection; invalid where it is refused or the deadline passes.
[[nodiscard]] UniqueFd connectTcp(const std::string &Address,
                                  std::uint16_t Port,
                                  policy::TimePoint Deadline);

// Listens; invalid with the reason in LastError. Port 0 takes any free port.
[[nodiscard]] UniqueFd listenTcp(const std::string &Address, std::uint16_t Port,
                                 policy::Error &LastError);

[[nodiscard]] std::uint16_t localPort(int Fd);

// Numeric IPv4 address of the other side.
[[nodiscard]] std::string remoteAddress(int Fd);

// Sets the options of a connected socket; one from accept4 has to be
// non-blocking already.
void setUpSocket(int Fd);

// Sends head and body whole, both in one system call where the socket takes
// them. False where the connection breaks or the deadline passes.
[[nodiscard]] bool sendAll(int Fd, std::string_view Head, std::string_view Body,
                           policy::TimePoint Deadline);

// Sends what the socket takes at once and removes it from the pieces. False
// where the connection is broken.
[[nodiscard]] bool sendSome(int Fd, std::string_view &Head,
                            std::string_view &Body);

// Results of receiveSome for a connection that the other side has closed in
// order, and for one that broke.
inline constexpr std::ptrdiff_t ConnectionClosed = -1;
inline constexpr std::ptrdiff_t ConnectionBroken = -2;

// Bytes read; 0: nothing there now; negative: closed or broken.
[[nodiscard]] std::ptrdiff_t receiveSome(int Fd, std::span<char> Room);

// True where an idle connection is still open and nothing unexpected is in it.
[[nodiscard]] bool isUsable(int Fd);

// Waits until one of the descriptors is ready or the deadline passes. On a
// fiber other fibers run meanwhile. A thread polls without sleeping for the
// spin time first, because a sleeping thread needs tens of microseconds to wake
// up.
[[nodiscard]] bool waitReady(std::span<pollfd> Fds, policy::TimePoint Deadline,
                             policy::Duration Spin);

// The same for one descriptor to read from.
[[nodiscard]] bool waitReadable(int Fd, policy::TimePoint Deadline,
                                policy::Duration Spin = {});

} // namespace magnolia::daemon

#endif
