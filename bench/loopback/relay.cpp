#include "relay.h"

#include <arpa/inet.h>
#include <array>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace magnolia::bench {

namespace {

constexpr int ListenBacklog = 256;

sockaddr_in socketAddress(const Endpoint &Target) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<std::uint16_t>(Target.Port));
  inet_pton(AF_INET, Target.Address.c_str(), &Address.sin_addr);
  return Address;
}

void setNoDelay(int Socket) {
  const int On = 1;
  setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
}

void copyBytes(int From, int To) {
  std::array<char, 65536> Buffer{};
  for (;;) {
    const auto Length = recv(From, Buffer.data(), Buffer.size(), 0);
    if (Length <= 0) {
      break;
    }
    for (ssize_t Sent = 0; Sent < Length;) {
      const auto Part =
          send(To, Buffer.data() + Sent,
               static_cast<std::size_t>(Length - Sent), MSG_NOSIGNAL);
      if (Part <= 0) {
        shutdown(From, SHUT_RD);
        return;
      }
      Sent += Part;
    }
  }
  shutdown(To, SHUT_WR);
}

void serveConnection(int Caller, const sockaddr_in &Target) {
  const int Server = socket(AF_INET, SOCK_STREAM, 0);
  if (connect(Server, reinterpret_cast<const sockaddr *>(&Target),
              sizeof Target) == 0) {
    setNoDelay(Caller);
    setNoDelay(Server);
    std::thread Back([Server, Caller] { copyBytes(Server, Caller); });
    copyBytes(Caller, Server);
    Back.join();
  }
  close(Server);
  close(Caller);
}

} // namespace

int relay(const Endpoint &Listen, const Endpoint &Target) {
  const int Listener = socket(AF_INET, SOCK_STREAM, 0);
  const int On = 1;
  setsockopt(Listener, SOL_SOCKET, SO_REUSEADDR, &On, sizeof On);
  const auto Own = socketAddress(Listen);
  const auto Next = socketAddress(Target);
  if (bind(Listener, reinterpret_cast<const sockaddr *>(&Own), sizeof Own) !=
          0 ||
      listen(Listener, ListenBacklog) != 0) {
    close(Listener);
    return 1;
  }
  for (;;) {
    const int Caller = accept(Listener, nullptr, nullptr);
    if (Caller >= 0) {
      std::thread([Caller, Next] { serveConnection(Caller, Next); }).detach();
    }
  }
}

} // namespace magnolia::bench
