#include "daemon/node/obtain_key.h"

#include "daemon/log/log.h"
#include "policy/fleet/join.h"
#include "settings/record/record_key.h"

#include <openssl/rand.h>

#include <array>
#include <chrono>
#include <optional>
#include <random>
#include <string>
#include <thread>

namespace magnolia::daemon {

namespace {

constexpr std::chrono::milliseconds CallTimeout{1000};
constexpr std::size_t KeyBytes = 32;

std::string randomKey() {
  std::array<unsigned char, KeyBytes> Bytes{};
  if (RAND_bytes(Bytes.data(), static_cast<int>(Bytes.size())) != 1) {
    return {};
  }
  return {reinterpret_cast<const char *>(Bytes.data()), Bytes.size()};
}

// Key that the store holds, or one that this call has written.
std::optional<std::string> readOrWrite(const store::StoreOperations &Store,
                                       store::StoreError &LastError) {
  const auto Held = Store.Read(settings::ClusterKeyKey, CallTimeout, LastError);
  if (Held) {
    return Held->Value;
  }
  if (LastError.Kind != store::StoreErrorKind::NotFound) {
    return std::nullopt;
  }
  std::string Made = randomKey();
  if (!Made.empty() &&
      Store.Put({.Key = std::string(settings::ClusterKeyKey), .Value = Made},
                CallTimeout, LastError)) {
    return Made;
  }
  // Another node was first, or the outcome is unknown: the next read tells.
  return std::nullopt;
}

} // namespace

wire::ClusterKey obtainClusterKey(const store::StoreOperations &Store) {
  policy::RandomEngine Random(std::random_device{}());
  for (int Failures = 1;; ++Failures) {
    store::StoreError LastError;
    std::optional<std::string> Key = readOrWrite(Store, LastError);
    if (Key && Key->size() >= wire::ClusterKeyMinimumBytes) {
      return {.Bytes = *std::move(Key)};
    }
    if (LastError.Kind == store::StoreErrorKind::Conflict) {
      continue;
    }
    log(LogLevel::Warning, "cluster key not obtained",
        {{"reason", std::string_view(LastError.Detail)}});
    std::this_thread::sleep_for(policy::storeBackoff(Failures, Random));
  }
}

} // namespace magnolia::daemon
