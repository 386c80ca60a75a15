#include "store/client/internal/codec.h"

#include "policy/core/parse_json.h"
#include "store/client/base64.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace magnolia::store::internal {
namespace {

using Json = nlohmann::json;

std::optional<Json> parseObject(std::string_view Body) {
  Json Document = policy::parseJson(Body);
  if (!Document.is_object())
    return std::nullopt;
  return Document;
}

std::optional<std::uint64_t> number(const Json &Object, const char *Name) {
  const auto Found = Object.find(Name);
  if (Found == Object.end() || !Found->is_number_unsigned())
    return std::nullopt;
  return Found->get<std::uint64_t>();
}

std::optional<std::string> text(const Json &Object, const char *Name) {
  const auto Found = Object.find(Name);
  if (Found == Object.end() || !Found->is_string())
    return std::nullopt;
  return Found->get<std::string>();
}

std::optional<Entry> entryOf(const Json &Object) {
  if (!Object.is_object())
    return std::nullopt;
  auto Key = text(Object, "key");
  const auto Encoded = text(Object, "value");
  const auto At = number(Object, "revision");
  if (!Key || !Encoded || !At || *At == 0)
    return std::nullopt;
  auto Value = decodeBase64(*Encoded);
  if (!Value || Value->size() > MaxValueSize)
    return std::nullopt;
  return Entry{std::move(*Key), std::move(*Value), *At,
               number(Object, "lease").value_or(0)};
}

std::optional<WatchEvent> eventOf(const Json &Object) {
  if (!Object.is_object())
    return std::nullopt;
  const auto Deleted = Object.find("deleted");
  if (Deleted != Object.end() && Deleted->is_boolean() &&
      Deleted->get<bool>()) {
    auto Key = text(Object, "key");
    const auto At = number(Object, "revision");
    if (!Key || !At)
      return std::nullopt;
    return WatchEvent{std::move(*Key), {}, *At, true};
  }
  auto Parsed = entryOf(Object);
  if (!Parsed)
    return std::nullopt;
  return WatchEvent{std::move(Parsed->Key), std::move(Parsed->Value),
                    Parsed->ModRevision, false};
}

// Appends every element of the named array, or returns false.
template <typename T, typename Parse>
bool appendAll(const Json &Object, const char *Name, std::vector<T> &To,
               Parse &&Element) {
  const auto Found = Object.find(Name);
  if (Found == Object.end() || !Found->is_array())
    return false;
  To.reserve(Found->size());
  for (const Json &Item : *Found) {
    auto Parsed = Element(Item);
    if (!Parsed)
      return false;
    To.push_back(std::move(*Parsed));
  }
  return true;
}

} // namespace

std::string formatPut(const PutRequest &Request) {
  return Json{{"key", Request.Key},
              {"value", encodeBase64(Request.Value)},
              {"expected_revision", Request.Expected},
              {"lease", Request.Lease}}
      .dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string formatGrant(std::chrono::milliseconds TimeToLive) {
  return Json{{"ttl_ms", TimeToLive.count()}}.dump();
}

std::string formatLease(LeaseId Lease) { return Json{{"lease", Lease}}.dump(); }

std::optional<Entry> parseEntry(std::string_view Body) {
  const auto Document = parseObject(Body);
  return Document ? entryOf(*Document) : std::nullopt;
}

std::optional<RangeResult> parseRange(std::string_view Body) {
  const auto Document = parseObject(Body);
  RangeResult Result;
  if (!Document || !appendAll(*Document, "entries", Result.Entries, entryOf))
    return std::nullopt;
  const auto At = number(*Document, "revision");
  if (!At)
    return std::nullopt;
  Result.StoreRevision = *At;
  return Result;
}

std::optional<WatchResult> parseWatch(std::string_view Body) {
  const auto Document = parseObject(Body);
  WatchResult Result;
  if (!Document || !appendAll(*Document, "events", Result.Events, eventOf))
    return std::nullopt;
  const auto At = number(*Document, "revision");
  if (!At)
    return std::nullopt;
  Result.StoreRevision = *At;
  const auto Full = Document->find("full");
  Result.Full =
      Full != Document->end() && Full->is_boolean() && Full->get<bool>();
  return Result;
}

std::optional<Revision> parseRevision(std::string_view Body) {
  const auto Document = parseObject(Body);
  return Document ? number(*Document, "revision") : std::nullopt;
}

std::optional<LeaseId> parseLease(std::string_view Body) {
  const auto Document = parseObject(Body);
  const auto Lease = Document ? number(*Document, "lease") : std::nullopt;
  return Lease && *Lease != 0 ? Lease : std::nullopt;
}

} // namespace magnolia::store::internal
