#include "store/client/internal/store_connection.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>
#include <utility>

namespace magnolia::store::internal {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

// Largest head of a response, and largest line after it.
constexpr std::uint32_t HeadBytes = 16'384;
constexpr std::size_t BufferBytes = std::size_t{64} << 10;

constexpr unsigned HttpVersion = 11;

// TCP keepalive: idle time before the first probe, interval between probes, and
// number of unanswered probes after which the connection is closed. A
// connection may stop responding without a reset, also during a pending watch.
constexpr int KeepaliveIdleSeconds = 1;
constexpr int KeepaliveIntervalSeconds = 1;
constexpr int KeepaliveProbes = 2;

void setOption(int Socket, int Level, int Name, int Value) {
  ::setsockopt(Socket, Level, Name, &Value, sizeof Value);
}

void setUp(int Socket) {
  setOption(Socket, IPPROTO_TCP, TCP_NODELAY, 1);
  setOption(Socket, SOL_SOCKET, SO_KEEPALIVE, 1);
  setOption(Socket, IPPROTO_TCP, TCP_KEEPIDLE, KeepaliveIdleSeconds);
  setOption(Socket, IPPROTO_TCP, TCP_KEEPINTVL, KeepaliveIntervalSeconds);
  setOption(Socket, IPPROTO_TCP, TCP_KEEPCNT, KeepaliveProbes);
}

// True if the store has neither closed the connection nor sent bytes that
// belong to no request.
bool isUsable(int Socket) {
  char Byte = 0;
  return ::recv(Socket, &Byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
         errno == EAGAIN;
}

ConnectionFailure failureOf(const error_code &Error) {
  if (Error == beast::error::timeout) {
    return ConnectionFailure::TimedOut;
  }
  return Error == http::error::body_limit ? ConnectionFailure::BodyTooLarge
                                          : ConnectionFailure::Broken;
}

http::request<http::string_body> messageOf(const ConnectionRequest &Request,
                                           const std::string &Host) {
  http::request<http::string_body> Message;
  Message.version(HttpVersion);
  Message.method_string(Request.Method);
  Message.target(Request.Target);
  Message.set(http::field::host, Host);
  if (!Request.Body.empty()) {
    Message.set(http::field::content_type, "application/json");
    Message.body() = Request.Body;
  }
  Message.prepare_payload();
  return Message;
}

} // namespace

// The operations run on the thread that waits for them. Only a stop comes from
// another thread, as a task of the context.
struct StoreConnection::Stream {
  asio::io_context Context{1};
  beast::tcp_stream Tcp{Context};

  // Starts an operation, waits for its end and returns its error.
  template <class Start> error_code run(Start &&Begin) {
    error_code Result;
    Context.restart();
    Begin([&Result](const error_code &Ended, std::size_t) { Result = Ended; });
    Context.run();
    return Result;
  }

  error_code connect(const std::string &Address, std::uint16_t Port) {
    error_code Parsed;
    const auto Ip = asio::ip::make_address_v4(Address, Parsed);
    if (Parsed) {
      return Parsed;
    }
    const error_code Result = run([&](auto Done) {
      Tcp.async_connect(
          asio::ip::tcp::endpoint(Ip, Port),
          [Done](const error_code &Ended) mutable { Done(Ended, 0); });
    });
    if (!Result) {
      setUp(Tcp.socket().native_handle());
    }
    return Result;
  }

  void close() {
    error_code Ignored;
    Tcp.socket().close(Ignored);
  }
};

StoreConnection::StoreConnection(std::string StoreAddress,
                                 std::uint16_t StorePort)
    : Address(std::move(StoreAddress)), Port(StorePort),
      Open(std::make_unique<Stream>()) {}

StoreConnection::~StoreConnection() = default;

ConnectionResponse StoreConnection::exchange(const ConnectionRequest &Request,
                                             const ExchangeLimits &Limits) {
  beast::tcp_stream &Tcp = Open->Tcp;
  if (Tcp.socket().is_open() && !isUsable(Tcp.socket().native_handle())) {
    Open->close();
  }
  Tcp.expires_at(Limits.Deadline);
  if (!Tcp.socket().is_open()) {
    if (const error_code Failed = Open->connect(Address, Port)) {
      Open->close();
      return {.Failure = ConnectionFailure::NotConnected,
              .Reason = Failed.message()};
    }
  }
  const auto Message = messageOf(Request, Address + ":" + std::to_string(Port));
  beast::flat_buffer Buffer(BufferBytes);
  http::response_parser<http::string_body> Parser;
  Parser.header_limit(HeadBytes);
  Parser.body_limit(Limits.BodyBytes);
  error_code Failed = Open->run(
      [&](auto Done) { http::async_write(Tcp, Message, std::move(Done)); });
  if (!Failed) {
    Failed = Open->run([&](auto Done) {
      http::async_read(Tcp, Buffer, Parser, std::move(Done));
    });
  }
  if (Failed) {
    Open->close();
    return {.Failure = failureOf(Failed), .Reason = Failed.message()};
  }
  auto &Read = Parser.get();
  const auto Header = Limits.HeaderName.empty()
                          ? beast::string_view()
                          : Read[beast::string_view(Limits.HeaderName.data(),
                                                    Limits.HeaderName.size())];
  return {.Status = Read.result_int(),
          .Body = std::move(Read.body()),
          .Header = std::string(Header.data(), Header.size()),
          .KeepAlive = Read.keep_alive() && Buffer.size() == 0};
}

void StoreConnection::stop() {
  asio::post(Open->Context, [this] { Open->Tcp.cancel(); });
}

} // namespace magnolia::store::internal
