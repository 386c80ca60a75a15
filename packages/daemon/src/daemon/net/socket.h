#ifndef DAEMON_NET_SOCKET_H
#define DAEMON_NET_SOCKET_H

#include "daemon/net/fwd.h"
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

// Opens a TCP connection. The descriptor is invalid if the connection is
// refused or the deadline passes.
[[nodiscard]] UniqueFd connectTcp(const std::string &Address,
                                  std::uint16_t Port,
                                  policy::TimePoint Deadline);

// Opens a listening socket. On failure, the descriptor is invalid and LastError
// is set. Port 0 selects any free port.
[[nodiscard]] UniqueFd listenTcp(const std::string &Address, std::uint16_t Port,
                                 policy::Error &LastError);

[[nodiscard]] std::uint16_t localPort(int Fd);

// Returns the numeric IPv4 address of the remote side.
[[nodiscard]] std::string remoteAddress(int Fd);

// Sets the TCP options of a connected socket. A socket from accept4 must
// already be non-blocking.
void setUpSocket(int Fd);

// Sends the complete head and body, in one system call if the socket accepts
// them. Returns false if the connection breaks or the deadline passes.
[[nodiscard]] bool sendAll(int Fd, std::string_view Head, std::string_view Body,
                           policy::TimePoint Deadline);

// State of a connection after sendSome.
enum class SendStatus : std::uint8_t {
  Open,
  // The remote side reads no more. It had closed its sending side before, so
  // what it sent has arrived whole.
  Closed,
  // The connection broke, and bytes of the remote side may be lost. The kernel
  // reports this once: receiveSome then returns the bytes that arrived and
  // ConnectionClosed, as after a clean close.
  Broken,
};

// Sends as much as the socket accepts without waiting and removes it from the
// views.
[[nodiscard]] SendStatus sendSome(int Fd, std::string_view &Head,
                                  std::string_view &Body);

// Results of receiveSome for a connection that the remote side closed cleanly,
// and for one that broke.
inline constexpr std::ptrdiff_t ConnectionClosed = -1;
inline constexpr std::ptrdiff_t ConnectionBroken = -2;

// Returns the number of bytes read, 0 if none are available, or a negative
// value if the connection is closed or broken.
[[nodiscard]] std::ptrdiff_t receiveSome(int Fd, std::span<char> Buffer);

// True if an idle connection is still open and has no unexpected input.
[[nodiscard]] bool isUsable(int Fd);

// True if bytes have arrived that were not read yet.
[[nodiscard]] bool hasInput(int Fd);

// Waits until one of the descriptors is ready or the deadline passes. On a
// fiber, other fibers run during the wait. A thread first polls for the spin
// time without sleeping, because a sleeping thread takes tens of microseconds
// to wake up. A signal ends the wait of a fiber too; a thread ignores it.
[[nodiscard]] bool waitReady(std::span<pollfd> Fds, policy::TimePoint Deadline,
                             policy::Duration Spin,
                             FiberSignal *Signal = nullptr);

// Waits until the descriptor is readable or the deadline passes.
[[nodiscard]] bool waitReadable(int Fd, policy::TimePoint Deadline,
                                policy::Duration Spin = {});

} // namespace magnolia::daemon

#endif
