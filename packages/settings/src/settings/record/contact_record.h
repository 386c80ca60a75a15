#ifndef SETTINGS_RECORD_CONTACT_RECORD_H
#define SETTINGS_RECORD_CONTACT_RECORD_H

#include <cstdint>
#include <string>

namespace magnolia::settings {

// Node through which starting nodes join, under contacts/<zone>/<n>.
struct ContactRecord {
  std::string Address;
  std::uint16_t GossipPort = 0;
  std::string Zone;
  std::uint64_t Incarnation = 0;

  bool operator==(const ContactRecord &) const = default;
};

} // namespace magnolia::settings

#endif
