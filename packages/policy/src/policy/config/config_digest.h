#ifndef POLICY_CONFIG_CONFIG_DIGEST_H
#define POLICY_CONFIG_CONFIG_DIGEST_H

#include <array>
#include <cstddef>
#include <cstdint>

namespace magnolia::policy {

// Hash over the keys and revisions of a table, in total and per bucket of keys.
// Two tables with equal digests hold the same entries. Every gossip datagram
// carries Whole; Buckets limit an exchange to the keys that may differ.
struct ConfigDigest {
  static constexpr std::size_t BucketCount = 64;

  std::uint64_t Whole = 0;
  std::array<std::uint64_t, BucketCount> Buckets{};

  bool operator==(const ConfigDigest &) const = default;
};

} // namespace magnolia::policy

#endif
