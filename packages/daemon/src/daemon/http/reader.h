#ifndef DAEMON_HTTP_READER_H
#define DAEMON_HTTP_READER_H

#include "daemon/http/message.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>

namespace magnolia::daemon {

struct HttpLimits {
  std::size_t HeadBytes = 32'768;
  std::size_t BodyBytes = 16'777'216;

  bool operator==(const HttpLimits &) const = default;
};

// Most headers in one message.
inline constexpr std::size_t HttpHeaderMaximumCount = 200;

enum class HttpReadStatus : std::uint8_t {
  Ready,
  NeedMore,
  Malformed,
  HeadTooLarge,
  BodyTooLarge,
};

// Cuts HTTP/1.1 messages out of a stream with Boost.Beast's parser.
// cpp-httplib is not used here because it decodes %XX in header values, by
// which a caller can smuggle in headers, changes bodies with an encoding, and
// checks idle connections only every 1 to 11 ms.
class HttpReader {
public:
  enum class Kind : std::uint8_t { Request, Response };

  HttpReader(Kind Read, HttpLimits Limits);
  ~HttpReader();
  HttpReader(HttpReader &&) noexcept;
  HttpReader &operator=(HttpReader &&) noexcept;

  // Starts a new message. For a response the method of its request says
  // whether it has a body.
  void begin(std::string_view Method = {});

  // Limits of the message that begins next; the one at hand keeps its own.
  void limit(const HttpLimits &Next);

  // Free room to read into, and the number of bytes that were read there.
  [[nodiscard]] std::span<char> room();
  void commit(std::size_t Count);

  // Goes on with the bytes at hand. Ready once the whole message is there.
  [[nodiscard]] HttpReadStatus read();
  // The other side has closed the connection in order. Ready for a response
  // without a stated length, which ends so; Malformed for any other message.
  [[nodiscard]] HttpReadStatus finish();

  // True where bytes of an unfinished or further message are held.
  [[nodiscard]] bool hasBytes() const;
  // True once the head of the message at hand is there.
  [[nodiscard]] bool hasHead() const;
  // True where the caller waits for leave to send the body.
  [[nodiscard]] bool expectsContinue() const;

  [[nodiscard]] HttpRequest takeRequest();
  [[nodiscard]] HttpResponse takeResponse();

private:
  struct State;
  std::unique_ptr<State> Held;
};

} // namespace magnolia::daemon

#endif
