#include "daemon/net/socket.h"

#include "daemon/net/clock.h"
#include "daemon/net/fiber_loop.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/uio.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <ctime>

namespace magnolia::daemon {

namespace {

constexpr int Backlog = 1024;

// Time after which a connection with unacknowledged data counts as broken.
constexpr unsigned UserTimeoutMs = 5000;

bool fillAddress(const std::string &Address, std::uint16_t Port,
                 sockaddr_in &Target) {
  std::memset(&Target, 0, sizeof Target);
  Target.sin_family = AF_INET;
  Target.sin_port = htons(Port);
  return inet_pton(AF_INET, Address.c_str(), &Target.sin_addr) == 1;
}

timespec timeLeft(policy::TimePoint Deadline) {
  const auto Left = std::max(Deadline - now(), policy::Duration{0});
  const auto Seconds = std::chrono::duration_cast<std::chrono::seconds>(Left);
  return {.tv_sec = Seconds.count(), .tv_nsec = (Left - Seconds).count()};
}

bool sleepUntilReady(std::span<pollfd> Fds, policy::TimePoint Deadline) {
  for (;;) {
    const timespec Left = timeLeft(Deadline);
    const int Ready = ppoll(Fds.data(), Fds.size(), &Left, nullptr);
    if (Ready > 0) {
      return true;
    }
    if (Ready == 0 || errno != EINTR) {
      return false;
    }
  }
}

bool waitWritable(int Fd, policy::TimePoint Deadline) {
  pollfd Poll{.fd = Fd, .events = POLLOUT, .revents = 0};
  return waitReady({&Poll, 1}, Deadline, {});
}

// A reset is reported as EPIPE if the remote side had closed its sending side
// before, and as ECONNRESET otherwise. A time-out has an error of its own.
SendStatus statusOfFailedSend(int Error) {
  switch (Error) {
  case EAGAIN:
    return SendStatus::Open;
  case EPIPE:
    return SendStatus::Closed;
  default:
    return SendStatus::Broken;
  }
}

} // namespace

void setUpSocket(int Fd) {
  const int On = 1;
  setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
  setsockopt(Fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &UserTimeoutMs,
             sizeof UserTimeoutMs);
}

UniqueFd connectTcp(const std::string &Address, std::uint16_t Port,
                    policy::TimePoint Deadline) {
  sockaddr_in Target;
  UniqueFd Fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
  if (!Fd.valid() || !fillAddress(Address, Port, Target)) {
    return {};
  }
  setUpSocket(Fd.fd());
  if (::connect(Fd.fd(), reinterpret_cast<const sockaddr *>(&Target),
                sizeof Target) == 0) {
    return Fd;
  }
  if (errno != EINPROGRESS || !waitWritable(Fd.fd(), Deadline)) {
    return {};
  }
  int SocketError = 0;
  socklen_t Size = sizeof SocketError;
  getsockopt(Fd.fd(), SOL_SOCKET, SO_ERROR, &SocketError, &Size);
  return SocketError == 0 ? std::move(Fd) : UniqueFd();
}

UniqueFd listenTcp(const std::string &Address, std::uint16_t Port,
                   policy::Error &LastError) {
  sockaddr_in LocalAddress;
  UniqueFd Fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
  const int On = 1;
  if (Fd.valid() && fillAddress(Address, Port, LocalAddress)) {
    setsockopt(Fd.fd(), SOL_SOCKET, SO_REUSEADDR, &On, sizeof On);
    if (::bind(Fd.fd(), reinterpret_cast<const sockaddr *>(&LocalAddress),
               sizeof LocalAddress) == 0 &&
        ::listen(Fd.fd(), Backlog) == 0) {
      return Fd;
    }
  }
  LastError = {policy::ErrorKind::Internal, "cannot listen on " + Address +
                                                ":" + std::to_string(Port) +
                                                ": " + std::strerror(errno)};
  return {};
}

std::uint16_t localPort(int Fd) {
  sockaddr_in LocalAddress{};
  socklen_t Size = sizeof LocalAddress;
  getsockname(Fd, reinterpret_cast<sockaddr *>(&LocalAddress), &Size);
  return ntohs(LocalAddress.sin_port);
}

std::string remoteAddress(int Fd) {
  sockaddr_in Remote{};
  socklen_t Size = sizeof Remote;
  std::array<char, INET_ADDRSTRLEN> Text{};
  if (getpeername(Fd, reinterpret_cast<sockaddr *>(&Remote), &Size) != 0 ||
      !inet_ntop(AF_INET, &Remote.sin_addr, Text.data(), Text.size())) {
    return {};
  }
  return Text.data();
}

SendStatus sendSome(int Fd, std::string_view &Head, std::string_view &Body) {
  while (!Head.empty() || !Body.empty()) {
    // sendmsg takes mutable buffers but does not modify them.
    std::array<iovec, 2> Buffers = {
        {{const_cast<char *>(Head.data()), Head.size()},
         {const_cast<char *>(Body.data()), Body.size()}}};
    msghdr Message{};
    Message.msg_iov = Buffers.data();
    Message.msg_iovlen = Buffers.size();
    const ssize_t Sent = ::sendmsg(Fd, &Message, MSG_NOSIGNAL);
    if (Sent < 0 && errno != EINTR) {
      return statusOfFailedSend(errno);
    }
    const auto Count = static_cast<std::size_t>(std::max<ssize_t>(Sent, 0));
    const std::size_t FromHead = std::min(Count, Head.size());
    Head.remove_prefix(FromHead);
    Body.remove_prefix(Count - FromHead);
  }
  return SendStatus::Open;
}

bool sendAll(int Fd, std::string_view Head, std::string_view Body,
             policy::TimePoint Deadline) {
  for (;;) {
    if (sendSome(Fd, Head, Body) != SendStatus::Open) {
      return false;
    }
    if (Head.empty() && Body.empty()) {
      return true;
    }
    if (!waitWritable(Fd, Deadline)) {
      return false;
    }
  }
}

std::ptrdiff_t receiveSome(int Fd, std::span<char> Buffer) {
  for (;;) {
    const ssize_t Count = ::recv(Fd, Buffer.data(), Buffer.size(), 0);
    if (Count > 0) {
      return Count;
    }
    if (Count < 0 && errno == EINTR) {
      continue;
    }
    if (Count == 0) {
      return ConnectionClosed;
    }
    return errno == EAGAIN ? 0 : ConnectionBroken;
  }
}

bool isUsable(int Fd) {
  char Byte = 0;
  return ::recv(Fd, &Byte, 1, MSG_PEEK) < 0 && errno == EAGAIN;
}

bool hasInput(int Fd) {
  char Byte = 0;
  return ::recv(Fd, &Byte, 1, MSG_PEEK) > 0;
}

bool waitReady(std::span<pollfd> Fds, policy::TimePoint Deadline,
               policy::Duration Spin, FiberSignal *Signal) {
  if (FiberLoop *Loop = FiberLoop::current()) {
    return Loop->wait(Fds, Deadline, Signal);
  }
  if (Spin > policy::Duration{0}) {
    const policy::TimePoint SpinEnd = std::min(Deadline, now() + Spin);
    do {
      if (::poll(Fds.data(), Fds.size(), 0) > 0) {
        return true;
      }
    } while (now() < SpinEnd);
  }
  return sleepUntilReady(Fds, Deadline);
}

bool waitReadable(int Fd, policy::TimePoint Deadline, policy::Duration Spin) {
  pollfd Poll{.fd = Fd, .events = POLLIN, .revents = 0};
  return waitReady({&Poll, 1}, Deadline, Spin);
}

} // namespace magnolia::daemon
