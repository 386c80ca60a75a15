#include "policy/core/types.h"

#include <xxhash.h>

namespace magnolia::policy {

NodeId nodeIdOf(std::string_view Address, std::uint16_t PeerPort) {
  const NodeId Id = hashOf(Address, PeerPort);
  return Id == 0 ? 1 : Id;
}

std::uint64_t hashOf(std::string_view Text, std::uint64_t Seed) {
  return XXH64(Text.data(), Text.size(), Seed);
}

} // namespace magnolia::policy
