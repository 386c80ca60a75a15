#include "daemon/view/organisation_index.h"

#include "wire/seal/cluster_key.h"
#include "wire/seal/seal.h"

#include <algorithm>
#include <cstring>
#include <iterator>
#include <set>
#include <utility>

namespace magnolia::daemon {
namespace {

using settings::OrganisationRecord;

constexpr std::size_t SecretBytes = 32;

std::uint64_t bucketOf(const KeyDigest &Digest) {
  std::uint64_t Bucket = 0;
  std::memcpy(&Bucket, Digest.Bytes.data(),
              std::min(sizeof(Bucket), Digest.Bytes.size()));
  return Bucket;
}

void removeKeys(OrganisationIndex &Index, const OrganisationRecord &Removed) {
  for (const std::string &Key : Removed.Keys) {
    const auto [Begin, End] = Index.Keys.equal_range(bucketOf(digestOf(Key)));
    for (auto Entry = Begin; Entry != End;) {
      Entry = Entry->second.Owner->Name == Removed.Name
                  ? Index.Keys.erase(Entry)
                  : std::next(Entry);
    }
  }
}

void addKeys(OrganisationIndex &Index,
             const OrganisationIndex::Organisation &Added) {
  const std::set<std::string_view> Keys(Added->Keys.begin(), Added->Keys.end());
  for (const std::string_view Key : Keys) {
    KeyDigest Digest = digestOf(Key);
    const std::uint64_t Bucket = bucketOf(Digest);
    Index.Keys.emplace(Bucket,
                       OrganisationIndex::KeyEntry{.Digest = std::move(Digest),
                                                   .Owner = Added});
  }
}

} // namespace

KeyDigest digestOf(std::string_view Key) {
  static const wire::ClusterKey Secret{wire::randomBytes(SecretBytes)};
  return {wire::tagOf(Secret, wire::SealPurpose::OrganisationKey, {Key})};
}

std::optional<OrganisationIndex> withChanges(
    const OrganisationIndex &Last, std::span<const OrganisationRecord> Removed,
    std::span<const OrganisationRecord> Added, policy::Error &LastError) {
  OrganisationIndex Next = Last;
  for (const OrganisationRecord &Organisation : Removed) {
    removeKeys(Next, Organisation);
    Next.Organisations.erase(Organisation.Name);
  }
  std::optional<std::string> Twice;
  for (const OrganisationRecord &Organisation : Added) {
    const auto Entry = std::make_shared<const OrganisationRecord>(Organisation);
    if (Next.Organisations.emplace(Organisation.Name, Entry).second) {
      addKeys(Next, Entry);
    } else if (!Twice || Organisation.Name < *Twice) {
      Twice = Organisation.Name;
    }
  }
  if (Twice) {
    LastError = {policy::ErrorKind::BadRequest,
                 "routing table: the organisation " + *Twice +
                     " has two lines"};
    return std::nullopt;
  }
  return Next;
}

const OrganisationRecord *findOwner(const OrganisationIndex &Index,
                                    const KeyDigest &Digest) {
  const auto [Begin, End] = Index.Keys.equal_range(bucketOf(Digest));
  const OrganisationRecord *Owner = nullptr;
  for (auto Entry = Begin; Entry != End; ++Entry) {
    const OrganisationRecord *const Next = Entry->second.Owner.get();
    if (wire::equalTags(Entry->second.Digest.Bytes, Digest.Bytes) &&
        (Owner == nullptr || Next->Name < Owner->Name)) {
      Owner = Next;
    }
  }
  return Owner;
}

bool lostKey(const OrganisationRecord &Before, const OrganisationRecord *Now) {
  return Now == nullptr ||
         (Now != &Before &&
          !std::all_of(Before.Keys.begin(), Before.Keys.end(),
                       [Now](const std::string &Key) {
                         return std::find(Now->Keys.begin(), Now->Keys.end(),
                                          Key) != Now->Keys.end();
                       }));
}

} // namespace magnolia::daemon
