#ifndef STORE_CLIENT_BASE64_H
#define STORE_CLIENT_BASE64_H

#include <optional>
#include <string>
#include <string_view>

namespace magnolia::store {

[[nodiscard]] std::string encodeBase64(std::string_view Bytes);

// Empty if the text is not base64 with padding.
[[nodiscard]] std::optional<std::string> decodeBase64(std::string_view Text);

} // namespace magnolia::store

#endif
