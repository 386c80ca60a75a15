#ifndef POLICY_CONFIG_EXCHANGE_H
#define POLICY_CONFIG_EXCHANGE_H

#include "policy/config/config_diff.h"
#include "policy/config/config_table.h"
#include "policy/config/key_revision.h"
#include "policy/config/large_values.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace magnolia::policy {

// Byte limit of the entries in one response, below the 4 MiB limit of control
// messages.
inline constexpr std::size_t ExchangeMaxBytes = std::size_t{2} << 20;

// Number of large values announced in one message.
inline constexpr std::size_t MaxNotices = 64;

[[nodiscard]] const ConfigDigest &digest(const ConfigTable &Table);

// Returns the bucket of the digest that contains the key.
[[nodiscard]] std::size_t bucketOf(std::string_view Key);

// Returns the set of buckets in which the digests differ, as one bit each.
[[nodiscard]] std::uint64_t differingBuckets(const ConfigDigest &Left,
                                             const ConfigDigest &Right);

// Returns the keys of these buckets with their revisions, which a node sends to
// another one for comparison.
[[nodiscard]] std::vector<KeyRevision>
revisions(const ConfigTable &Table, std::uint64_t Buckets = ~std::uint64_t{0});

// Returns the large values of these buckets, at most MaxNotices.
[[nodiscard]] std::vector<KeyRevision>
largeRevisions(const ConfigTable &Table,
               std::uint64_t Buckets = ~std::uint64_t{0});

// Compares the table with the revisions of another node. Keys in other buckets
// are ignored on both sides. MaxBytes limits Newer, which contains at least one
// entry if there is any.
[[nodiscard]] ConfigDiff diff(const ConfigTable &Table,
                              std::span<const KeyRevision> Theirs,
                              std::uint64_t Buckets = ~std::uint64_t{0},
                              std::size_t MaxBytes = ExchangeMaxBytes,
                              LargeValues Large = LargeValues::Inline);

// Returns the entries of the wanted keys that are in the table, up to MaxBytes.
// Leaves out large values that are announced.
[[nodiscard]] std::vector<ConfigEntry>
missingFrom(const ConfigTable &Table, std::span<const std::string> Wanted,
            std::size_t MaxBytes = ExchangeMaxBytes,
            LargeValues Large = LargeValues::Inline);

// Returns the large values among the wanted keys, at most MaxNotices.
[[nodiscard]] std::vector<KeyRevision>
largeAmong(const ConfigTable &Table, std::span<const std::string> Wanted);

} // namespace magnolia::policy

#endif
