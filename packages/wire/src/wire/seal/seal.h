#ifndef WIRE_SEAL_SEAL_H
#define WIRE_SEAL_SEAL_H

#include "wire/seal/cluster_key.h"

#include <cstddef>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

namespace magnolia::wire {

// Length of an HMAC-SHA256 tag.
inline constexpr std::size_t TagBytes = 32;

// What a tag is for. It is part of the tag's input, so that a message of one
// protocol is never valid in another.
enum class SealPurpose : char {
  Control = 'c',
  Gossip = 'g',
  HelloAnswer = 'a',
  HelloProof = 'p',
};

// HMAC-SHA256 over purpose and parts; each part is preceded by its length.
[[nodiscard]] std::string tagOf(const ClusterKey &Key, SealPurpose Purpose,
                                std::initializer_list<std::string_view> Parts);

// Compares in a time that does not depend on the content.
[[nodiscard]] bool equalTags(std::string_view Left, std::string_view Right);

// Tag followed by the body, for UDP.
[[nodiscard]] std::string sealDatagram(const ClusterKey &Key,
                                       std::string_view Body);

// Body of a datagram, or nothing where its tag is wrong.
[[nodiscard]] std::optional<std::string_view>
openDatagram(const ClusterKey &Key, std::string_view Datagram);

// Unpredictable bytes from the system's generator.
[[nodiscard]] std::string randomBytes(std::size_t Count);

} // namespace magnolia::wire

#endif
