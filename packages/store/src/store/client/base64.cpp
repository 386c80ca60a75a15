#include "store/client/base64.h"

#include <openssl/evp.h>

#include <climits>
#include <cstddef>

namespace magnolia::store {
namespace {

constexpr std::size_t GroupBytes = 3;
constexpr std::size_t GroupCharacters = 4;

const unsigned char *bytesOf(std::string_view Text) {
  return reinterpret_cast<const unsigned char *>(Text.data());
}

} // namespace

std::string encodeBase64(std::string_view Bytes) {
  const std::size_t Groups = (Bytes.size() + GroupBytes - 1) / GroupBytes;
  // EVP_EncodeBlock writes a terminating zero after the text.
  std::string Text(Groups * GroupCharacters + 1, '\0');
  EVP_EncodeBlock(reinterpret_cast<unsigned char *>(Text.data()),
                  bytesOf(Bytes), static_cast<int>(Bytes.size()));
  Text.pop_back();
  return Text;
}

std::optional<std::string> decodeBase64(std::string_view Text) {
  if (Text.empty())
    return std::string();
  if (Text.size() % GroupCharacters != 0 || Text.size() > INT_MAX)
    return std::nullopt;
  std::size_t Padding = 0;
  while (Padding < 2 && Text[Text.size() - 1 - Padding] == '=')
    ++Padding;
  std::string Bytes(Text.size() / GroupCharacters * GroupBytes, '\0');
  const int Size =
      EVP_DecodeBlock(reinterpret_cast<unsigned char *>(Bytes.data()),
                      bytesOf(Text), static_cast<int>(Text.size()));
  // A shorter result means that OpenSSL dropped white space.
  if (Size < 0 || static_cast<std::size_t>(Size) != Bytes.size())
    return std::nullopt;
  Bytes.resize(Bytes.size() - Padding);
  return Bytes;
}

} // namespace magnolia::store
