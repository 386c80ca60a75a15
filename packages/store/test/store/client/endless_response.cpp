#include "store/client/http_store.h"

#include <gtest/gtest.h>

#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <string>
#include <string_view>
#include <thread>
#include <utility>

namespace magnolia::store {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds Timeout{200};
// A call must have ended by then, also on a busy machine.
constexpr milliseconds Latest{8000};

// Server on a free port that responds to each connection with fixed bytes and
// then repeats a byte every millisecond until the client closes.
class SlowServer {
public:
  SlowServer(std::string Start, char Repeated)
      : Start(std::move(Start)), Repeated(Repeated),
        Listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t Size = sizeof Address;
    auto *const Generic = reinterpret_cast<sockaddr *>(&Address);
    EXPECT_EQ(::bind(Listener, Generic, Size), 0);
    EXPECT_EQ(::listen(Listener, 8), 0);
    ::getsockname(Listener, Generic, &Size);
    Port = ntohs(Address.sin_port);
    Thread = std::thread([this] { run(); });
  }
  ~SlowServer() {
    ::shutdown(Listener, SHUT_RDWR);
    Thread.join();
    ::close(Listener);
  }
  SlowServer(const SlowServer &) = delete;
  SlowServer &operator=(const SlowServer &) = delete;

  std::uint16_t Port = 0;

private:
  void run() {
    for (int Accepted = 0;
         (Accepted = ::accept(Listener, nullptr, nullptr)) >= 0;) {
      std::string_view Next = Start;
      pollfd Poll{.fd = Accepted, .events = POLLRDHUP, .revents = 0};
      const auto Until = std::chrono::steady_clock::now() + Latest;
      while (::send(Accepted, Next.data(), Next.size(), MSG_NOSIGNAL) >= 0 &&
             ::poll(&Poll, 1, 1) == 0 &&
             std::chrono::steady_clock::now() < Until) {
        Next = {&Repeated, 1};
      }
      ::close(Accepted);
    }
  }

  const std::string Start;
  const char Repeated;
  int Listener;
  std::thread Thread;
};

struct SlowRow {
  const char *Failure;
  std::string Start;
};

// Guards against a response whose bytes arrive so slowly that no single read
// times out: the call would never end, and its thread would no longer follow
// the store.
TEST(EndlessResponse, SlowResponseEndsTheCall) {
  const SlowRow Rows[] = {
      {"a status line", "HTTP/1.1 200 "},
      {"a header line", "HTTP/1.1 200 OK\r\nA: "},
      {"a body", "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n"},
      {"the size of a chunk",
       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0"},
  };
  for (const SlowRow &Row : Rows) {
    const SlowServer Server(Row.Start, '0');
    const StoreOperations Store = httpStore({.Port = Server.Port});
    StoreError LastError;
    const auto Before = std::chrono::steady_clock::now();
    EXPECT_FALSE(Store.Read("k", Timeout, LastError)) << Row.Failure;
    EXPECT_LT(std::chrono::steady_clock::now() - Before, Latest / 2)
        << Row.Failure;
    EXPECT_EQ(LastError.Kind, StoreErrorKind::Timeout) << Row.Failure;
    EXPECT_FALSE(Store.Put({.Key = "k", .Value = "v"}, Timeout, LastError))
        << Row.Failure;
    EXPECT_EQ(LastError.Kind, StoreErrorKind::OutcomeUnknown) << Row.Failure;
    Store.Close();
  }
}

} // namespace
} // namespace magnolia::store
