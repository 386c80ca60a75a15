#include "wire/seal.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>
#include <climits>
#include <string>

namespace magnolia::wire {
namespace {

constexpr std::size_t TagSize = 32;

// Starts the authenticated data, so that a tag of another protocol under the
// same cluster key (gossip, peer hello) is not valid here.
constexpr std::string_view Domain = "magnolia.control.v1:";

std::string tagOf(std::string_view Key, std::string_view Body) {
  std::string Data;
  Data.reserve(Domain.size() + Body.size());
  Data.append(Domain).append(Body);
  std::array<unsigned char, EVP_MAX_MD_SIZE> Digest{};
  unsigned int Size = 0;
  if (Key.size() > INT_MAX ||
      HMAC(EVP_sha256(), Key.data(), static_cast<int>(Key.size()),
           reinterpret_cast<const unsigned char *>(Data.data()), Data.size(),
           Digest.data(), &Size) == nullptr ||
      Size != TagSize)
    return {};
  return {reinterpret_cast<const char *>(Digest.data()), TagSize};
}

} // namespace

SealedMessage seal(std::string_view Key, const ControlBody &Body) {
  SealedMessage Message;
  Body.SerializeToString(Message.mutable_body());
  Message.set_tag(tagOf(Key, Message.body()));
  return Message;
}

std::optional<ControlBody> open(std::string_view Key,
                                const SealedMessage &Message,
                                policy::Error &LastError) {
  const auto Reject = [&LastError](std::string_view Detail) {
    LastError = {policy::ErrorKind::BadRequest, std::string(Detail)};
    return std::nullopt;
  };
  if (Key.size() < MinKeySize)
    return Reject("the cluster key is shorter than 16 bytes");
  if (Message.body().size() > MaxSealedBody)
    return Reject("sealed message: body over 4 MiB");
  const std::string Expected = tagOf(Key, Message.body());
  // The comparison takes the same time wherever the tags differ.
  if (Expected.size() != TagSize || Message.tag().size() != TagSize ||
      CRYPTO_memcmp(Expected.data(), Message.tag().data(), TagSize) != 0)
    return Reject("sealed message: wrong tag; check the cluster key");
  ControlBody Body;
  if (!Body.ParseFromString(Message.body()))
    return Reject("sealed message: the body is not a ControlBody");
  return Body;
}

} // namespace magnolia::wire
