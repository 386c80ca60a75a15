#ifndef POLICY_CONFIG_FETCH_STATE_H
#define POLICY_CONFIG_FETCH_STATE_H

#include "policy/config/fetch_options.h"
#include "policy/config/key_fetch.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace magnolia::policy {

// Fetches of large values on one node. Change it with the functions in fetch.h
// only.
struct FetchState {
  FetchOptions Options;
  // Keys of which a newer revision is known.
  std::map<std::string, KeyFetch, std::less<>> Keys;
  std::size_t InFlight = 0;
  // Identifier of the last fetch.
  std::uint64_t LastId = 0;
  std::uint64_t Started = 0;
  std::uint64_t Failed = 0;
  // Fetches that the asked node postponed.
  std::uint64_t Postponed = 0;
  // Announcements not kept because of MaxKeys.
  std::uint64_t Refused = 0;
};

} // namespace magnolia::policy

#endif
