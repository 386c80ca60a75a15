#include "daemon/node/start_records.h"

#include "daemon/log/log.h"
#include "policy/fleet/join.h"
#include "settings/record/record_key.h"
#include "store/core/range_result.h"

#include <openssl/rand.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <optional>
#include <random>
#include <string>

namespace magnolia::daemon {

namespace {

constexpr std::chrono::milliseconds CallTimeout{2000};
constexpr std::size_t KeyBytes = 32;

std::string randomKey() {
  std::array<unsigned char, KeyBytes> Bytes{};
  if (RAND_bytes(Bytes.data(), static_cast<int>(Bytes.size())) != 1) {
    return {};
  }
  return {reinterpret_cast<const char *>(Bytes.data()), Bytes.size()};
}

// Returns the cluster key from the records, or a new one that this call wrote
// because there was none or it was too short.
std::optional<std::string> readOrCreateKey(const store::StoreOperations &Store,
                                           const store::WatchResult &Records,
                                           store::StoreError &LastError) {
  const auto Held = std::find_if(Records.Events.begin(), Records.Events.end(),
                                 [](const store::WatchEvent &Next) {
                                   return Next.Key == settings::ClusterKeyKey;
                                 });
  store::Revision Expected = 0;
  if (Held != Records.Events.end()) {
    if (Held->Value.size() >= wire::ClusterKeyMinimumBytes) {
      return Held->Value;
    }
    // Without a valid key no node starts.
    log(LogLevel::Error, "the cluster key in the store is too short; it is "
                         "replaced");
    Expected = Held->ModRevision;
  }
  std::string NewKey = randomKey();
  if (!NewKey.empty() && Store.Put({.Key = std::string(settings::ClusterKeyKey),
                                    .Value = NewKey,
                                    .Expected = Expected},
                                   CallTimeout, LastError)) {
    return NewKey;
  }
  // Another node was first or the outcome is unknown. The next read returns the
  // key that was stored.
  return std::nullopt;
}

} // namespace

std::optional<StartRecords>
readStartRecords(const store::StoreOperations &Store,
                 const std::function<bool(policy::Duration)> &Sleep,
                 policy::Duration Jitter) {
  policy::RandomEngine Random(std::random_device{}());
  std::uniform_int_distribution<policy::Duration::rep> Delay(0, Jitter.count());
  if (!Sleep(policy::Duration(Delay(Random)))) {
    return std::nullopt;
  }
  for (int Failures = 1;; ++Failures) {
    store::StoreError LastError;
    auto Range = Store.Range({}, CallTimeout, LastError);
    if (Range) {
      store::WatchResult Records = store::asWatchResult(*std::move(Range));
      if (auto Key = readOrCreateKey(Store, Records, LastError)) {
        return StartRecords{.Key = {.Bytes = *std::move(Key)},
                            .Records = std::move(Records)};
      }
    }
    if (LastError.Kind == store::StoreErrorKind::Conflict) {
      continue;
    }
    log(LogLevel::Warning, "records not read at start",
        {{"reason", std::string_view(LastError.Detail)}});
    if (!Sleep(policy::storeBackoff(Failures, Random))) {
      return std::nullopt;
    }
  }
}

} // namespace magnolia::daemon
