#ifndef STORE_TEST_SUPPORT_RAW_STORE_H
#define STORE_TEST_SUPPORT_RAW_STORE_H

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <sys/socket.h>

#include <cstdint>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace magnolia::store::test {

// What a RawStore does on one connection, once the head of a request has
// arrived.
struct RawResponse {
  std::string Bytes;
  enum class Ending : std::uint8_t {
    // Reads on until the client closes.
    Open,
    // Ends its own side in order, and reads on until the client closes.
    End,
    // Resets the connection, whose request it has not read to its end.
    Reset,
  };
  Ending How = Ending::Open;
};

// Store that sends fixed bytes: one response on each connection, in the given
// order.
class RawStore {
public:
  explicit RawStore(std::vector<RawResponse> Given)
      : Responses(std::move(Given)),
        Acceptor(Context, {boost::asio::ip::address_v4::loopback(), 0}),
        Thread([this] { run(); }) {}
  ~RawStore() {
    ::shutdown(Acceptor.native_handle(), SHUT_RDWR);
    Thread.join();
  }
  RawStore(const RawStore &) = delete;
  RawStore &operator=(const RawStore &) = delete;

  [[nodiscard]] std::uint16_t port() const {
    return Acceptor.local_endpoint().port();
  }

private:
  using Socket = boost::asio::ip::tcp::socket;

  void run() {
    for (const RawResponse &Response : Responses) {
      Socket Client(Context);
      boost::system::error_code Error;
      Acceptor.accept(Client, Error);
      if (Error) {
        return;
      }
      serve(Client, Response);
    }
  }

  // Errors are ignored: the client may close the connection at any time.
  static void serve(Socket &Client, const RawResponse &Response) {
    boost::system::error_code Error;
    std::string Head;
    for (char Next = 0; !Error && !Head.ends_with("\r\n\r\n"); Head += Next) {
      Client.read_some(boost::asio::buffer(&Next, 1), Error);
    }
    boost::asio::write(Client, boost::asio::buffer(Response.Bytes), Error);
    if (Response.How == RawResponse::Ending::Reset) {
      Client.set_option(boost::asio::socket_base::linger(true, 0), Error);
      // The destructor would set the option back.
      Client.close(Error);
      return;
    }
    if (Response.How == RawResponse::Ending::End) {
      Client.shutdown(Socket::shutdown_send, Error);
    }
    std::string Rest(4096, '\0');
    while (!Error) {
      Client.read_some(boost::asio::buffer(Rest), Error);
    }
  }

  const std::vector<RawResponse> Responses;
  boost::asio::io_context Context;
  boost::asio::ip::tcp::acceptor Acceptor;
  std::thread Thread;
};

} // namespace magnolia::store::test

#endif
