#ifndef POLICY_CONFIG_EXCHANGE_H
#define POLICY_CONFIG_EXCHANGE_H

#include "policy/config/config_diff.h"
#include "policy/config/config_table.h"
#include "policy/config/key_revision.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace magnolia::policy {

// Byte limit of the entries of one answer, under gRPC's 4 MiB message limit.
inline constexpr std::size_t ExchangeMaxBytes = std::size_t{2} << 20;

[[nodiscard]] const ConfigDigest &digest(const ConfigTable &Table);

// Bucket of the digest that the key counts to.
[[nodiscard]] std::size_t bucketOf(std::string_view Key);

// Buckets in which the digests differ, one bit each.
[[nodiscard]] std::uint64_t differingBuckets(const ConfigDigest &Left,
                                             const ConfigDigest &Right);

// Keys and revisions held in the buckets: what a node sends to be compared.
[[nodiscard]] std::vector<KeyRevision>
revisions(const ConfigTable &Table, std::uint64_t Buckets = ~std::uint64_t{0});

// Compares the table with the revisions of another node. Keys of buckets that
// are not in the set are left out on both sides. MaxBytes bounds Newer, which
// holds at least one entry where there is any.
[[nodiscard]] ConfigDiff diff(const ConfigTable &Table,
                              std::span<const KeyRevision> Theirs,
                              std::uint64_t Buckets = ~std::uint64_t{0},
                              std::size_t MaxBytes = ExchangeMaxBytes);

// Entries held for the wanted keys, up to MaxBytes.
[[nodiscard]] std::vector<ConfigEntry>
missingFrom(const ConfigTable &Table, std::span<const std::string> Wanted,
            std::size_t MaxBytes = ExchangeMaxBytes);

} // namespace magnolia::policy

#endif
