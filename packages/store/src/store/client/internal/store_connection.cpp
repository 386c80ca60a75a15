#include "store/client/internal/store_connection.h"

#include "policy/core/folded_line.h"
#include "policy/core/status_class.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <optional>
#include <utility>

namespace magnolia::store::internal {

namespace {

namespace http = boost::beast::http;
using Clock = std::chrono::steady_clock;
using Parser = http::response_parser<http::string_body>;

// Largest head of a response, and largest line after it.
constexpr std::uint32_t HeadBytes = 16'384;
constexpr std::size_t ReadBytes = 16'384;

// More interim responses to one request than any store has a use for.
constexpr std::size_t MaxInterimResponses = 16;

// A connection that takes longer counts as refused, also for a watch, which may
// last much longer.
constexpr std::chrono::seconds ConnectTimeout{2};

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
  return ::recv(Socket, &Byte, 1, MSG_PEEK) < 0 && errno == EAGAIN;
}

// Returns false if the deadline passes first.
bool wait(int Socket, short Events, Clock::time_point Deadline) {
  for (;;) {
    const auto Left = std::chrono::ceil<std::chrono::milliseconds>(
        std::max(Deadline - Clock::now(), Clock::duration::zero()));
    pollfd Poll{.fd = Socket, .events = Events, .revents = 0};
    const int Ready = ::poll(&Poll, 1, static_cast<int>(Left.count()));
    if (Ready > 0) {
      return true;
    }
    if (Ready == 0 || errno != EINTR) {
      return false;
    }
  }
}

std::string bytesOf(const ConnectionRequest &Request, const std::string &Host) {
  std::string Bytes = Request.Method + " " + Request.Target +
                      " HTTP/1.1\r\nHost: " + Host + "\r\n";
  if (!Request.Body.empty()) {
    Bytes += "Content-Type: application/json\r\n";
  }
  if (!Request.Body.empty() || Request.Method != "GET") {
    Bytes += "Content-Length: " + std::to_string(Request.Body.size()) + "\r\n";
  }
  return Bytes + "\r\n" + Request.Body;
}

ConnectionResponse failed(ConnectionFailure Failure, std::string Reason) {
  return {.Failure = Failure, .Reason = std::move(Reason)};
}

// Response in progress, after the interim ones to the same request.
struct IncomingResponse {
  std::size_t BodyBytes = 0;
  std::optional<Parser> Parsed;
  std::size_t Interim = 0;
};

void start(IncomingResponse &Into) {
  Into.Parsed.emplace();
  // An eager parser of Boost 1.74 drops the error of a body over the limit if
  // header and body arrive together.
  Into.Parsed->eager(false);
  Into.Parsed->header_limit(HeadBytes);
  Into.Parsed->body_limit(Into.BodyBytes);
}

// Checks the status once the head is complete, and starts anew after an interim
// response. Returns false and sets Failed if no response has such a status.
bool checkStatus(IncomingResponse &Into, ConnectionResponse &Failed) {
  if (!Into.Parsed->is_header_done()) {
    return true;
  }
  const unsigned Status = Into.Parsed->get().result_int();
  switch (policy::statusClassOf(Status)) {
  case policy::StatusClass::Final:
    return true;
  case policy::StatusClass::Interim:
    start(Into);
    if (++Into.Interim <= MaxInterimResponses) {
      return true;
    }
    Failed = failed(ConnectionFailure::Broken, "too many interim responses");
    return false;
  case policy::StatusClass::Invalid:
    break;
  }
  Failed = failed(ConnectionFailure::Broken,
                  std::to_string(Status) + " is not a status of a response");
  return false;
}

// True if the parser has just taken a header line that begins with a blank. It
// takes all lines of the head at once, and those of the trailers with the last
// chunk.
bool tookFoldedLine(const Parser &From, bool HadHead, std::string_view Taken) {
  const bool TookLines =
      HadHead ? From.is_done() && From.chunked() : From.is_header_done();
  return TookLines && policy::hasFoldedLine(Taken);
}

// Parses as many of the buffered bytes as possible and removes them. Returns
// false and sets Failed if they are not a response within the limits.
bool parse(IncomingResponse &Into, std::string &Bytes,
           ConnectionResponse &Failed) {
  while (!Into.Parsed->is_done() && !Bytes.empty()) {
    boost::system::error_code Error;
    const bool HadHead = Into.Parsed->is_header_done();
    const std::size_t Used = Into.Parsed->put(
        boost::asio::const_buffer(Bytes.data(), Bytes.size()), Error);
    const bool Folded =
        tookFoldedLine(*Into.Parsed, HadHead, {Bytes.data(), Used});
    Bytes.erase(0, Used);
    if (Error == http::error::need_more && Bytes.size() <= HeadBytes) {
      return true;
    }
    if (Error) {
      Failed = failed(Error == http::error::body_limit
                          ? ConnectionFailure::BodyTooLarge
                          : ConnectionFailure::Broken,
                      Error.message());
      return false;
    }
    if (Folded) {
      Failed = failed(ConnectionFailure::Broken,
                      "a header line begins with a blank");
      return false;
    }
    if (!checkStatus(Into, Failed)) {
      return false;
    }
  }
  return true;
}

// Ends a response whose body ends with the connection.
bool finish(Parser &Into) {
  boost::system::error_code Error;
  if (Into.is_header_done() && Into.need_eof()) {
    Into.put_eof(Error);
  }
  return !Error && Into.is_done();
}

ConnectionResponse responseOf(Parser &Parsed, std::string_view HeaderName,
                              bool Reusable) {
  auto &Read = Parsed.get();
  const auto Header =
      Read[boost::beast::string_view(HeaderName.data(), HeaderName.size())];
  return {.Status = Read.result_int(),
          .Body = std::move(Read.body()),
          .Header = std::string(Header.data(), Header.size()),
          .KeepAlive = Reusable && Parsed.keep_alive()};
}

} // namespace

StoreConnection::StoreConnection(std::string StoreAddress,
                                 std::uint16_t StorePort)
    : Address(std::move(StoreAddress)), Port(StorePort) {}

StoreConnection::~StoreConnection() { close(); }

ConnectionResponse StoreConnection::exchange(const ConnectionRequest &Request,
                                             const ExchangeLimits &Limits) {
  if (Socket >= 0 && !isUsable(Socket)) {
    close();
  }
  if (Socket < 0 && !connect(Limits.Deadline)) {
    close();
    return failed(ConnectionFailure::NotConnected, "cannot connect");
  }
  const ConnectionFailure Sent = sendAll(
      bytesOf(Request, Address + ":" + std::to_string(Port)), Limits.Deadline);
  ConnectionResponse Response =
      Sent == ConnectionFailure::None
          ? receive(Limits)
          : failed(Sent, "the connection ended before the request was sent");
  if (!Response.KeepAlive) {
    close();
  }
  return Response;
}

bool StoreConnection::connect(TimePoint Deadline) {
  sockaddr_in Target{};
  Target.sin_family = AF_INET;
  Target.sin_port = htons(Port);
  if (::inet_pton(AF_INET, Address.c_str(), &Target.sin_addr) != 1) {
    return false;
  }
  {
    const std::lock_guard Lock(Mutex);
    Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  }
  if (Socket < 0) {
    return false;
  }
  setUp(Socket);
  if (::connect(Socket, reinterpret_cast<const sockaddr *>(&Target),
                sizeof Target) == 0) {
    return true;
  }
  return errno == EINPROGRESS &&
         awaitConnected(std::min(Deadline, Clock::now() + ConnectTimeout));
}

bool StoreConnection::awaitConnected(TimePoint Deadline) const {
  int Error = 0;
  socklen_t Size = sizeof Error;
  return wait(Socket, POLLOUT, Deadline) &&
         ::getsockopt(Socket, SOL_SOCKET, SO_ERROR, &Error, &Size) == 0 &&
         Error == 0;
}

ConnectionFailure StoreConnection::sendAll(std::string_view Bytes,
                                           TimePoint Deadline) const {
  while (!Bytes.empty()) {
    const ssize_t Sent =
        ::send(Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
    if (Sent >= 0) {
      Bytes.remove_prefix(static_cast<std::size_t>(Sent));
    } else if (errno == EAGAIN) {
      if (!wait(Socket, POLLOUT, Deadline)) {
        return ConnectionFailure::TimedOut;
      }
    } else if (errno != EINTR) {
      return ConnectionFailure::Broken;
    }
  }
  return ConnectionFailure::None;
}

ConnectionResponse
StoreConnection::receive(const ExchangeLimits &Limits) const {
  IncomingResponse Incoming{.BodyBytes = Limits.BodyBytes};
  start(Incoming);
  ConnectionResponse Failed;
  std::string Bytes;
  std::string Space(ReadBytes, '\0');
  while (!Incoming.Parsed->is_done()) {
    if (Clock::now() >= Limits.Deadline ||
        !wait(Socket, POLLIN, Limits.Deadline)) {
      return failed(ConnectionFailure::TimedOut, "no whole response in time");
    }
    const ssize_t Count = ::recv(Socket, Space.data(), Space.size(), 0);
    if (Count < 0 && (errno == EINTR || errno == EAGAIN)) {
      continue;
    }
    if (Count <= 0) {
      return Count == 0 && finish(*Incoming.Parsed)
                 ? responseOf(*Incoming.Parsed, Limits.HeaderName, false)
                 : failed(ConnectionFailure::Broken,
                          "the connection ended before the response");
    }
    Bytes.append(Space, 0, static_cast<std::size_t>(Count));
    if (!parse(Incoming, Bytes, Failed)) {
      return Failed;
    }
  }
  return responseOf(*Incoming.Parsed, Limits.HeaderName, Bytes.empty());
}

void StoreConnection::stop() {
  const std::lock_guard Lock(Mutex);
  if (Socket >= 0) {
    ::shutdown(Socket, SHUT_RDWR);
  }
}

void StoreConnection::close() {
  const std::lock_guard Lock(Mutex);
  if (Socket >= 0) {
    ::close(Socket);
    Socket = -1;
  }
}

} // namespace magnolia::store::internal
