#ifndef DAEMON_VIEW_ORGANISATION_INDEX_H
#define DAEMON_VIEW_ORGANISATION_INDEX_H

#include "policy/core/error.h"
#include "settings/record/organisation_record.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>

namespace magnolia::daemon {

// Digest of a key of an organisation under a random secret of the process, so
// that the time of a lookup tells nothing about the keys that exist.
struct KeyDigest {
  std::string Bytes;
};

[[nodiscard]] KeyDigest digestOf(std::string_view Key);

// Organisations of a routing table, by name and by key.
struct OrganisationIndex {
  using Organisation = std::shared_ptr<const settings::OrganisationRecord>;

  struct KeyEntry {
    KeyDigest Digest;
    Organisation Owner;
  };

  std::map<std::string, Organisation, std::less<>> Organisations;
  // By the first bytes of the digest.
  std::unordered_multimap<std::uint64_t, KeyEntry> Keys;
};

// Returns the index with the changes. Returns nothing and sets the error if an
// organisation has two records.
[[nodiscard]] std::optional<OrganisationIndex>
withChanges(const OrganisationIndex &Last,
            std::span<const settings::OrganisationRecord> Removed,
            std::span<const settings::OrganisationRecord> Added,
            policy::Error &LastError);

// Returns the organisation that has the key, or null; if several have it, the
// one with the lowest name. Takes the same time for
// each key whose digest begins like the given one.
[[nodiscard]] const settings::OrganisationRecord *
findOwner(const OrganisationIndex &Index, const KeyDigest &Digest);

// True if a key of the organisation was withdrawn since Before. Now is null if
// the organisation does not exist any more.
[[nodiscard]] bool lostKey(const settings::OrganisationRecord &Before,
                           const settings::OrganisationRecord *Now);

} // namespace magnolia::daemon

#endif
