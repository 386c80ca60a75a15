#ifndef DAEMON_HTTP_MESSAGE_H
#define DAEMON_HTTP_MESSAGE_H

#include <cstddef>
#include <cstdint>
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

struct HttpRequest {
  std::string Method;
  // Path and query.
  std::string Target;
  HttpHeaders Headers;
  std::string Body;
  // False where the connection ends after the answer.
  bool KeepAlive = true;
};

struct HttpResponse {
  std::uint16_t Status = 200;
  HttpHeaders Headers;
  std::string Body;
  bool KeepAlive = true;
};

// True where the names are equal but for the case of ASCII letters.
[[nodiscard]] bool equalNames(std::string_view Left, std::string_view Right);

// Value of the first header of that name, or null.
[[nodiscard]] const std::string *findHeader(const HttpHeaders &Headers,
                                            std::string_view Name);

// Removes the headers that apply to one connection only: the fixed list of
// RFC 9110, those that Connection names, and the length headers, which each
// connection writes anew. Magnolia headers of the system itself are removed
// by their users.
void removeHopByHop(HttpHeaders &Headers);

// True where name and value can be sent without changing the message around
// them: a token, and text without control characters.
[[nodiscard]] bool isValidHeader(const HttpHeader &Header);

// First line, headers and length header of a request whose body is sent from
// elsewhere, and of an answer. The body of an answer to HEAD is not sent, but
// its Content-Length header is kept.
[[nodiscard]] std::string requestHead(const HttpRequest &Request,
                                      std::string_view Host,
                                      std::size_t BodyBytes);
[[nodiscard]] std::string responseHead(const HttpResponse &Response,
                                       std::string_view Method);

// True where an answer with this status to this method has a body.
[[nodiscard]] bool hasBody(std::uint16_t Status, std::string_view Method);

} // namespace magnolia::daemon

#endif
