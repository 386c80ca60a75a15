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

// Protocol that a tag belongs to. It is part of the tag's input, so that a
// message of one protocol is never valid in another.
enum class SealPurpose : char {
  Control = 'c',
  Gossip = 'g',
  HelloAnswer = 'a',
  HelloProof = 'p',
  // Keys of organisations, under a secret of the process.
  OrganisationKey = 'o',
};

// Returns the HMAC-SHA256 of purpose and parts; each part is preceded by its
// length.
[[nodiscard]] std::string tagOf(const ClusterKey &Key, SealPurpose Purpose,
                                std::initializer_list<std::string_view> Parts);

// Compares in constant time.
[[nodiscard]] bool equalTags(std::string_view Left, std::string_view Right);

// Returns the tag followed by the body, to be sent as one UDP datagram.
[[nodiscard]] std::string sealDatagram(const ClusterKey &Key,
                                       std::string_view Body);

// Returns the body of a datagram; the result is empty if the tag is wrong.
[[nodiscard]] std::optional<std::string_view>
openDatagram(const ClusterKey &Key, std::string_view Datagram);

// Unpredictable bytes from the system's generator.
[[nodiscard]] std::string randomBytes(std::size_t Count);

} // namespace magnolia::wire

#endif
