#ifndef DAEMON_HTTP_READER_H
#define DAEMON_HTTP_READER_H

#include "daemon/http/message.h"
#include "daemon/memory/fwd.h"

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

// Maximum number of headers in one message.
inline constexpr std::size_t HttpHeaderMaximumCount = 200;

enum class HttpReadStatus : std::uint8_t {
  Ready,
  NeedMore,
  Malformed,
  HeadTooLarge,
  BodyTooLarge,
  // The node has no memory for the body.
  NoMemory,
};

// Parses HTTP/1.1 messages from a byte stream with Boost.Beast. cpp-httplib is
// not used here because it decodes %XX in header values, which allows header
// injection, modifies bodies that have a content encoding, and checks idle
// connections only every 1 to 11 ms.
class HttpReader {
public:
  enum class Kind : std::uint8_t { Request, Response };

  // Bodies take their memory from the given one; null for no limit on the sum
  // of all bodies.
  HttpReader(Kind Read, HttpLimits Limits, BodyMemory *Memory = nullptr);
  ~HttpReader();
  HttpReader(HttpReader &&) noexcept;
  HttpReader &operator=(HttpReader &&) noexcept;

  // Starts a new message. For a response, the method of its request determines
  // whether it has a body.
  void begin(std::string_view Method = {});

  // Sets the limits from the next message on; a message in progress keeps its
  // own.
  void limit(const HttpLimits &Next);

  // Buffer to read into, and the number of bytes that were read into it.
  [[nodiscard]] std::span<char> prepare();
  void commit(std::size_t Count);

  // Parses the buffered bytes. Returns Ready once the message is complete. Each
  // line after the head is limited to the size of a head, and the number of
  // interim responses before a final one to 16.
  [[nodiscard]] HttpReadStatus read();
  // Handles a clean close by the remote side. Returns Ready for a response
  // without a stated length, which ends this way, and Malformed for any other
  // message.
  [[nodiscard]] HttpReadStatus finish();

  // True if bytes of an incomplete or further message are buffered.
  [[nodiscard]] bool hasBytes() const;
  // True once the head of the current message is complete.
  [[nodiscard]] bool hasHead() const;
  // True if the caller waits for a 100 Continue response before it sends the
  // body.
  [[nodiscard]] bool expectsContinue() const;

  [[nodiscard]] HttpRequest takeRequest();
  [[nodiscard]] HttpResponse takeResponse();

private:
  struct State;
  std::unique_ptr<State> Impl;
};

} // namespace magnolia::daemon

#endif
