#ifndef DAEMON_TEST_SUPPORT_SCRIPTED_BACKEND_H
#define DAEMON_TEST_SUPPORT_SCRIPTED_BACKEND_H

#include "daemon/net/clock.h"
#include "daemon/net/connection_server.h"
#include "daemon/net/socket.h"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstring>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace magnolia::daemon::test {

inline constexpr std::chrono::seconds TestTimeout{10};

// Backend server whose responses are raw bytes, computed from the raw request
// by a function. An empty response closes the connection; the text "hang" keeps
// it open until the peer closes it. After a response that
// contains [cut] the connection is closed, after one that contains [reset] it
// is reset; the marker [close] at the end is not sent itself. Of a response
// with [split], the part behind it is sent byte by byte. Of one with [endless]
// or [slow], the part behind it is sent again and again until the peer closes
// the connection; with [slow] a byte per millisecond.
class ScriptedBackend {
public:
  using Script = std::function<std::string(const std::string &Request)>;

  explicit ScriptedBackend(Script Given)
      : Respond(std::move(Given)),
        Server({.Address = "127.0.0.1",
                .Port = 0,
                .Maximum = 64,
                .Serve = [this](Session &S) { serve(S); },
                .Refuse = {}}) {
    policy::Error LastError;
    Started = Server.start(LastError);
  }

  [[nodiscard]] std::uint16_t port() const { return Server.port(); }
  [[nodiscard]] std::vector<std::string> requests() const {
    const std::lock_guard Lock(Mutex);
    return Requests;
  }

  // Responds once the head of a request has arrived and reads no body.
  std::atomic<bool> RespondsToHeads = false;
  std::atomic<int> Hanging = 0;
  // Connections that have sent a request, and bytes of endless responses that
  // the peer or the kernel has accepted.
  std::atomic<int> Connections = 0;
  std::atomic<std::size_t> EndlessBytes = 0;
  bool Started = false;

private:
  static constexpr std::string_view CloseMarker = "[close]";

  void serve(Session &Accepted) {
    // The scripts state how a connection ends, also with a reset.
    Accepted.setLinger(policy::CloseAtOnce);
    std::string Bytes;
    int Answered = 0;
    for (;;) {
      const std::size_t End = wholeRequest(Bytes);
      if (End == 0) {
        if (!readMore(Accepted.fd(), Bytes)) {
          return;
        }
        continue;
      }
      Connections += Answered++ == 0 ? 1 : 0;
      const std::string Request = Bytes.substr(0, End);
      Bytes.erase(0, End);
      {
        const std::lock_guard Lock(Mutex);
        Requests.push_back(Request);
      }
      const std::string Raw = Respond(Request);
      if (Raw == "hang") {
        ++Hanging;
        while (readMore(Accepted.fd(), Bytes)) {
        }
        return;
      }
      if (Raw.find("[reset]") != std::string::npos) {
        reset(Accepted.fd(), Raw);
        return;
      }
      if (Raw.ends_with(CloseMarker)) {
        const std::size_t Sent = Raw.size() - CloseMarker.size();
        (void)sendAll(Accepted.fd(), std::string_view(Raw).substr(0, Sent), {},
                      now() + TestTimeout);
        return;
      }
      if (sendMarked(Accepted.fd(), Raw)) {
        continue;
      }
      if (Raw.empty() ||
          !sendAll(Accepted.fd(), Raw, {}, now() + TestTimeout) ||
          Raw.find("[cut]") != std::string::npos) {
        return;
      }
    }
  }

  // Sends a response with the marker [split], [endless] or [slow]. Returns
  // false if it has none.
  bool sendMarked(int Fd, const std::string &Raw) {
    constexpr std::size_t ChunkBytes = 65'536;
    for (const char *Marker : {"[split]", "[endless]", "[slow]"}) {
      const std::size_t At = Raw.find(Marker);
      if (At == std::string::npos) {
        continue;
      }
      const std::string Repeated = Raw.substr(At + std::strlen(Marker));
      bool Sent = sendAll(Fd, Raw.substr(0, At), {}, now() + TestTimeout);
      if (Marker == std::string_view("[split]")) {
        for (const char &Byte : Repeated) {
          Sent = Sent && sendAll(Fd, {&Byte, 1}, {}, now() + TestTimeout);
        }
        return true;
      }
      const bool Slow = Marker == std::string_view("[slow]");
      std::string Chunk = Repeated;
      while (!Slow && Chunk.size() < ChunkBytes) {
        Chunk += Repeated;
      }
      while (Sent && waitToSend(Fd, Slow)) {
        const std::string_view Next = Slow ? nextByte(Repeated) : Chunk;
        Sent = sendAll(Fd, Next, {}, now() + TestTimeout);
        EndlessBytes += Next.size();
      }
      return true;
    }
    return false;
  }

  std::string_view nextByte(const std::string &Repeated) {
    return std::string_view(Repeated).substr(EndlessBytes % Repeated.size(), 1);
  }

  // Waits a millisecond before a slow byte. Returns false once the peer has
  // closed the connection.
  static bool waitToSend(int Fd, bool Slow) {
    pollfd Poll{.fd = Fd, .events = POLLRDHUP, .revents = 0};
    const auto Pause = std::chrono::milliseconds(Slow ? 1 : 0);
    return !waitReady({&Poll, 1}, now() + Pause, {});
  }

  // Sends the bytes and sets a zero linger time, so that the close that follows
  // resets the connection.
  static void reset(int Fd, const std::string &Raw) {
    (void)sendAll(Fd, Raw, {}, now() + TestTimeout);
    const linger Abort{.l_onoff = 1, .l_linger = 0};
    ::setsockopt(Fd, SOL_SOCKET, SO_LINGER, &Abort, sizeof Abort);
  }

  [[nodiscard]] std::size_t wholeRequest(const std::string &Bytes) const {
    const std::size_t Head = Bytes.find("\r\n\r\n");
    if (Head == std::string::npos) {
      return 0;
    }
    const std::size_t Field = Bytes.find("Content-Length: ");
    const bool HasBody = Field < Head && !RespondsToHeads;
    const std::size_t Length =
        HasBody ? std::stoul(Bytes.substr(Field + 16, 20)) : 0;
    const std::size_t End = Head + 4 + Length;
    return Bytes.size() >= End ? End : 0;
  }

  static bool readMore(int Fd, std::string &Bytes) {
    char Space[4096];
    if (!waitReadable(Fd, now() + TestTimeout)) {
      return false;
    }
    const auto Count = receiveSome(Fd, Space);
    Bytes.append(Space, static_cast<std::size_t>(std::max<long>(Count, 0)));
    return Count >= 0;
  }

  const Script Respond;
  mutable std::mutex Mutex;
  std::vector<std::string> Requests;
  ConnectionServer Server;
};

// Returns a response with the body.
inline std::string plainResponse(const std::string &Body,
                                 const std::string &Headers = {}) {
  return "HTTP/1.1 200 OK\r\n" + Headers +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

} // namespace magnolia::daemon::test

#endif
