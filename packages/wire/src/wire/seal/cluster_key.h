#ifndef WIRE_SEAL_CLUSTER_KEY_H
#define WIRE_SEAL_CLUSTER_KEY_H

#include "policy/core/error.h"

#include <cstddef>
#include <optional>
#include <string>

namespace magnolia::wire {

// Secret that all nodes and operators' tools of one cluster share.
struct ClusterKey {
  std::string Bytes;
};

inline constexpr std::size_t ClusterKeyMinimumBytes = 16;
inline constexpr std::size_t ClusterKeyMaximumBytes = 4096;

// Reads the key: the content of the file without white space at its end.
[[nodiscard]] std::optional<ClusterKey>
readClusterKey(const std::string &Path, policy::Error &LastError);

} // namespace magnolia::wire

#endif
