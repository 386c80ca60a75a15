#ifndef DAEMON_HTTP_MESSAGE_H
#define DAEMON_HTTP_MESSAGE_H

#include "daemon/memory/fwd.h"
#include "policy/core/types.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace magnolia::daemon {

struct HttpHeader {
  std::string Name;
  std::string Value;

  bool operator==(const HttpHeader &) const = default;
};

using HttpHeaders = std::vector<HttpHeader>;

// Share of the node's memory that a body uses; null for a body that is not
// counted.
using BodyShare = std::shared_ptr<HeldBytes>;

struct HttpRequest {
  std::string Method;
  // Path and query.
  std::string Target;
  HttpHeaders Headers;
  std::string Body;
  BodyShare Share;
  // False if the connection closes after the response.
  bool KeepAlive = true;
  // Time from which the time budget of the request counts.
  policy::TimePoint Arrived{};
  // Numeric address of the other side of the connection; empty if it is not
  // known.
  std::string RemoteAddress;
};

struct HttpResponse {
  std::uint16_t Status = 200;
  HttpHeaders Headers;
  std::string Body;
  BodyShare Share;
  bool KeepAlive = true;
};

// Compares names without regard to the case of ASCII letters.
[[nodiscard]] bool equalNames(std::string_view Left, std::string_view Right);

// Returns the value of the first header with the name, or null.
[[nodiscard]] const std::string *findHeader(const HttpHeaders &Headers,
                                            std::string_view Name);

// Removes the headers that apply to one connection only: the hop-by-hop headers
// of RFC 9110, those that Connection names, and the length headers, which are
// written anew for each connection. The Magnolia headers of the system stay;
// the code that reads them removes them.
void removeHopByHop(HttpHeaders &Headers);

// True if the name is a token and the value has no control characters, so that
// neither can change the structure of the message.
[[nodiscard]] bool isValidHeader(const HttpHeader &Header);

// Return the start line and headers, including the length, of a request whose
// body is sent separately, and of a response. The body of a response to HEAD is
// not sent, but its Content-Length header is kept.
[[nodiscard]] std::string requestHead(const HttpRequest &Request,
                                      std::string_view Host,
                                      std::size_t BodyBytes);
[[nodiscard]] std::string responseHead(const HttpResponse &Response,
                                       std::string_view Method);

// Returns the size of the headers and the body in bytes.
[[nodiscard]] std::size_t bytesOf(const HttpResponse &Response);

// True if a response with this status to this method has a body.
[[nodiscard]] bool hasBody(std::uint16_t Status, std::string_view Method);

} // namespace magnolia::daemon

#endif
