#ifndef POLICY_CHAIN_RANKED_ROUTE_H
#define POLICY_CHAIN_RANKED_ROUTE_H

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>

namespace magnolia::policy {

// Route and rank of a request; callers of one route may have several ranks.
struct RankedRoute {
  std::string_view Route;
  // 0 is the highest.
  std::uint32_t Priority = 0;
};

// Order of keys that own their text, for look-up without a copy of it.
struct RankedRouteLess {
  // Name required by the associative containers of the standard.
  // NOLINTNEXTLINE(readability-identifier-naming)
  using is_transparent = void;

  template <class LeftKey, class RightKey>
  bool operator()(const LeftKey &Left, const RightKey &Right) const {
    return viewOf(Left) < viewOf(Right);
  }

private:
  using View = std::tuple<std::string_view, std::uint32_t>;
  static View viewOf(const RankedRoute &Key) {
    return {Key.Route, Key.Priority};
  }
  static View viewOf(const std::pair<std::string, std::uint32_t> &Key) {
    return {Key.first, Key.second};
  }
};

} // namespace magnolia::policy

#endif
