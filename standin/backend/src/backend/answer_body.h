#ifndef BACKEND_ANSWER_BODY_H
#define BACKEND_ANSWER_BODY_H

#include <cstddef>
#include <string>
#include <string_view>

namespace magnolia::standin {

// Contents of a response body. The first line holds service, version, path and
// token. The rest is a pattern derived from the token.
struct ResponseFacts {
  std::string Service;
  std::string Version;
  std::string Path;
  std::string Token;
};

// Largest response body that a caller may request.
inline constexpr std::size_t MostResponseBytes = std::size_t{8} << 20;

// Returns a body of the requested size, but at least the whole first line.
[[nodiscard]] std::string composeBody(const ResponseFacts &Facts,
                                      std::size_t Bytes);

// Returns true if the body is the complete response to the request with this
// path and token. Sets Version to the version that sent it.
[[nodiscard]] bool matchBody(std::string_view Body, std::string_view Path,
                             std::string_view Token, std::size_t Bytes,
                             std::string &Version);

} // namespace magnolia::standin

#endif
