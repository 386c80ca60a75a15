#ifndef REVIEW_STANDIN_2_HTTP_H
#define REVIEW_STANDIN_2_HTTP_H

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace review {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Milliseconds = std::chrono::milliseconds;

// Headers by their name in lower case.
using Headers = std::map<std::string, std::string>;

struct Request {
  std::string Method;
  // Path and query.
  std::string Target;
  Headers Fields;
  std::string Body;
};

struct Response {
  int Status = 0;
  Headers Fields;
  std::string Body;
  // Reason if there is no whole response.
  std::string Failure;
};

// Blocking HTTP/1.1 connection with a buffer for bytes that were read.
class Connection {
public:
  explicit Connection(int Socket) : Socket(Socket) {}
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;
  ~Connection();

  [[nodiscard]] int fd() const { return Socket; }
  [[nodiscard]] std::optional<Request> readRequest(TimePoint Until);
  [[nodiscard]] Response readResponse(TimePoint Until);
  [[nodiscard]] bool send(std::string_view Bytes) const;

private:
  [[nodiscard]] bool fill(TimePoint Until, std::string &Failure);
  [[nodiscard]] bool readHead(TimePoint Until, std::string &FirstLine,
                              Headers &Fields, std::string &Failure);
  [[nodiscard]] bool readBody(const Headers &Fields, TimePoint Until,
                              std::string &Body, std::string &Failure);

  const int Socket;
  std::string Buffer;
};

// Listens on the address and port. Returns -1 on failure.
[[nodiscard]] int listenOn(const std::string &Address, std::uint16_t Port);

// Connects within the time. Returns -1 on failure.
[[nodiscard]] int connectTo(const std::string &Address, std::uint16_t Port,
                            Milliseconds Time);

// Waits until the socket has bytes or was closed by its peer.
[[nodiscard]] bool waitForInput(int Socket, TimePoint Until);

// True if the peer has closed the connection.
[[nodiscard]] bool isClosedByPeer(int Socket);

[[nodiscard]] std::string bytesOf(const Request &Given);
[[nodiscard]] std::string bytesOf(const Response &Given);

// Sends one request on a new connection and reads the response.
[[nodiscard]] Response exchange(const std::string &Address, std::uint16_t Port,
                                const Request &Given, Milliseconds Time);

// Value of a parameter of the query, decoded; empty if it is absent.
[[nodiscard]] std::string parameterOf(std::string_view Target,
                                      std::string_view Name);

} // namespace review

#endif
