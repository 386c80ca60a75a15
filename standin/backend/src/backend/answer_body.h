#ifndef BACKEND_ANSWER_BODY_H
#define BACKEND_ANSWER_BODY_H

#include <cstddef>
#include <string>
#include <string_view>

namespace magnolia::standin {

// What an answer's body is made of. The first line names service, version,
// path and token; the rest is a pattern that depends on the token.
struct ResponseFacts {
  std::string Service;
  std::string Version;
  std::string Path;
  std::string Token;
};

// Largest body that a caller may ask for.
inline constexpr std::size_t MostResponseBytes = std::size_t{8} << 20;

// Body of the size asked for, but never shorter than its first line.
[[nodiscard]] std::string composeBody(const ResponseFacts &Facts,
                                      std::size_t Bytes);

// True where the body is the whole answer to the request with this path and
// token; sets the version that answered.
[[nodiscard]] bool matchBody(std::string_view Body, std::string_view Path,
                             std::string_view Token, std::size_t Bytes,
                             std::string &Version);

} // namespace magnolia::standin

#endif
