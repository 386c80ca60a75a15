#ifndef POLICY_CORE_EPOCH_H
#define POLICY_CORE_EPOCH_H

#include <cstdint>
#include <optional>

namespace magnolia::policy {

// A store that was restored from a copy gives out the revisions after the copy
// again. So that revisions stay ordered over the whole life of a fleet, each
// holds the store's epoch, which rises with every restoration, in its upper
// bits and the store's own counter in the lower ones. A store that never loses
// data stays in epoch 0, and its revisions equal the counter.
inline constexpr unsigned CounterBits = 40;
inline constexpr std::uint64_t MaxCounter =
    (std::uint64_t{1} << CounterBits) - 1;
inline constexpr std::uint64_t MaxEpoch = ~std::uint64_t{0} >> CounterBits;

[[nodiscard]] constexpr std::uint64_t epochOf(std::uint64_t Revision) {
  return Revision >> CounterBits;
}

[[nodiscard]] constexpr std::uint64_t counterOf(std::uint64_t Revision) {
  return Revision & MaxCounter;
}

// Returns the revision, or nothing if the epoch or the counter does not fit.
[[nodiscard]] constexpr std::optional<std::uint64_t>
revisionIn(std::uint64_t Epoch, std::uint64_t Counter) {
  if (Epoch > MaxEpoch || Counter > MaxCounter) {
    return std::nullopt;
  }
  return Epoch << CounterBits | Counter;
}

} // namespace magnolia::policy

#endif
