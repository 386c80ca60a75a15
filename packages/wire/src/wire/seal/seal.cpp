#include "wire/seal/seal.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <cstdint>
#include <stdexcept>

namespace magnolia::wire {

std::string tagOf(const ClusterKey &Key, SealPurpose Purpose,
                  std::initializer_list<std::string_view> Parts) {
  std::string Input(1, static_cast<char>(Purpose));
  for (const std::string_view Part : Parts) {
    const std::uint64_t Length = Part.size();
    for (int Shift = 56; Shift >= 0; Shift -= 8) {
      Input.push_back(static_cast<char>((Length >> Shift) & 0xFF));
    }
    Input.append(Part);
  }
  std::string Tag(TagBytes, '\0');
  unsigned int Length = 0;
  const unsigned char *Computed =
      HMAC(EVP_sha256(), Key.Bytes.data(), static_cast<int>(Key.Bytes.size()),
           reinterpret_cast<const unsigned char *>(Input.data()), Input.size(),
           reinterpret_cast<unsigned char *>(Tag.data()), &Length);
  if (!Computed || Length != TagBytes) {
    throw std::runtime_error("HMAC-SHA256 is not available");
  }
  return Tag;
}

bool equalTags(std::string_view Left, std::string_view Right) {
  return Left.size() == TagBytes && Right.size() == TagBytes &&
         CRYPTO_memcmp(Left.data(), Right.data(), TagBytes) == 0;
}

std::string sealDatagram(const ClusterKey &Key, std::string_view Body) {
  std::string Datagram = tagOf(Key, SealPurpose::Gossip, {Body});
  Datagram.append(Body);
  return Datagram;
}

std::optional<std::string_view> openDatagram(const ClusterKey &Key,
                                             std::string_view Datagram) {
  if (Datagram.size() < TagBytes) {
    return std::nullopt;
  }
  const std::string_view Body = Datagram.substr(TagBytes);
  if (!equalTags(Datagram.substr(0, TagBytes),
                 tagOf(Key, SealPurpose::Gossip, {Body}))) {
    return std::nullopt;
  }
  return Body;
}

std::string randomBytes(std::size_t Count) {
  std::string Bytes(Count, '\0');
  if (RAND_bytes(reinterpret_cast<unsigned char *>(Bytes.data()),
                 static_cast<int>(Count)) != 1) {
    throw std::runtime_error("the system's random number generator failed");
  }
  return Bytes;
}

} // namespace magnolia::wire
