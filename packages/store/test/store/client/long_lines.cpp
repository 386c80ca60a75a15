#include "store/client/http_store.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <string>
#include <thread>

namespace magnolia::store {
namespace {

constexpr std::chrono::milliseconds Timeout{5000};
constexpr std::size_t LongBytes = 1'000'000;

// Server that responds to one connection with fixed bytes.
class RawServer {
public:
  explicit RawServer(std::string Bytes)
      : Bytes(std::move(Bytes)),
        Acceptor(Context, {boost::asio::ip::address_v4::loopback(), 0}),
        Port(Acceptor.local_endpoint().port()), Thread([this] { run(); }) {}
  ~RawServer() { Thread.join(); }
  RawServer(const RawServer &) = delete;
  RawServer &operator=(const RawServer &) = delete;

private:
  void run() {
    boost::asio::ip::tcp::iostream Client;
    Acceptor.accept(Client.socket());
    std::string Line;
    while (std::getline(Client, Line) && Line != "\r") {
    }
    Client << Bytes << std::flush;
    // Waits until the client closes, so that the bytes are not reset.
    while (std::getline(Client, Line)) {
    }
  }

  const std::string Bytes;
  boost::asio::io_context Context;
  boost::asio::ip::tcp::acceptor Acceptor;

public:
  const std::uint16_t Port;

private:
  std::thread Thread;
};

struct LongRow {
  const char *Failure;
  std::string Bytes;
};

// Guards against a response of the store with a line of unbounded length that
// ends the process or fills its memory.
TEST(LongLines, EndTheCall) {
  const std::string Long(LongBytes, 'x');
  const LongRow Rows[] = {
      {"a status line", "HTTP/1.1 200 " + Long + "\r\n\r\n"},
      {"a header", "HTTP/1.1 200 OK\r\nA: " + Long + "\r\n\r\n"},
      {"the extension of a chunk",
       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;" + Long +
           "\r\nx\r\n0\r\n\r\n"},
      {"a trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n"
                    "A: " +
                        Long + "\r\n\r\n"},
      {"a response without an end of line", Long}};
  for (const LongRow &Row : Rows) {
    const RawServer Server(Row.Bytes);
    const StoreOperations Store = httpStore({.Port = Server.Port});
    StoreError LastError;
    EXPECT_FALSE(Store.Read("k", Timeout, LastError)) << Row.Failure;
    EXPECT_EQ(LastError.Kind, StoreErrorKind::Unavailable)
        << Row.Failure << ": " << LastError.Detail;
    Store.Close();
  }
}

} // namespace
} // namespace magnolia::store
