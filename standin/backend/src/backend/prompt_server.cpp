#include "backend/prompt_server.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <cstring>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace magnolia::standin {

namespace {

constexpr int ReadTimeoutMs = 60'000;
constexpr int StopCheckMs = 1000;

thread_local int Current = -1;
thread_local std::uint64_t Connection = 0;
std::atomic<std::uint64_t> Accepted{0};

bool awaitEvent(int Socket, short Event, int TimeoutMs) {
  pollfd Poll{.fd = Socket, .events = Event, .revents = 0};
  return poll(&Poll, 1, TimeoutMs) > 0;
}

using NameOf = int (*)(int, sockaddr *, socklen_t *);

void readName(NameOf Name, int Socket, std::string &Ip, int &Port) {
  sockaddr_in Address{};
  socklen_t Length = sizeof Address;
  if (Name(Socket, reinterpret_cast<sockaddr *>(&Address), &Length) == 0) {
    std::array<char, INET_ADDRSTRLEN> Text{};
    inet_ntop(AF_INET, &Address.sin_addr, Text.data(), Text.size());
    Ip = Text.data();
    Port = ntohs(Address.sin_port);
  }
}

// Socket stream with a read buffer, because the library reads request lines and
// headers byte by byte.
class BufferedStream : public httplib::Stream {
public:
  explicit BufferedStream(int Connected) : Socket(Connected) {}

  [[nodiscard]] bool hasBytes() const { return Next < End; }

  [[nodiscard]] bool is_readable() const override {
    return hasBytes() || awaitEvent(Socket, POLLIN, ReadTimeoutMs);
  }
  [[nodiscard]] bool is_writable() const override {
    return awaitEvent(Socket, POLLOUT, ReadTimeoutMs);
  }
  ssize_t read(char *To, size_t Size) override {
    if (!hasBytes()) {
      if (!is_readable()) {
        return -1;
      }
      const auto Count = recv(Socket, Buffer.data(), Buffer.size(), 0);
      if (Count <= 0) {
        return Count;
      }
      Next = 0;
      End = static_cast<std::size_t>(Count);
    }
    const auto Part = std::min(Size, End - Next);
    std::memcpy(To, Buffer.data() + Next, Part);
    Next += Part;
    return static_cast<ssize_t>(Part);
  }
  ssize_t write(const char *From, size_t Size) override {
    return is_writable() ? send(Socket, From, Size, MSG_NOSIGNAL) : -1;
  }
  void get_remote_ip_and_port(std::string &Ip, int &Port) const override {
    readName(getpeername, Socket, Ip, Port);
  }
  void get_local_ip_and_port(std::string &Ip, int &Port) const override {
    readName(getsockname, Socket, Ip, Port);
  }
  [[nodiscard]] socket_t socket() const override { return Socket; }

private:
  int Socket;
  std::array<char, 16'384> Buffer{};
  std::size_t Next = 0;
  std::size_t End = 0;
};

} // namespace

int PromptServer::currentSocket() { return Current; }

std::uint64_t PromptServer::currentConnection() { return Connection; }

std::uint64_t PromptServer::connectionsAccepted() { return Accepted; }

bool PromptServer::process_and_close_socket(socket_t Socket) {
  Current = Socket;
  Connection = ++Accepted;
  BufferedStream Stream(Socket);
  bool Served = true;
  bool Closed = false;
  while (Served && !Closed && svr_sock_ != INVALID_SOCKET) {
    if (Stream.hasBytes() || awaitEvent(Socket, POLLIN, StopCheckMs)) {
      Served = process_request(Stream, false, Closed, nullptr);
    }
  }
  Current = -1;
  shutdown(Socket, SHUT_RDWR);
  close(Socket);
  return Served;
}

} // namespace magnolia::standin
