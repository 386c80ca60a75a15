#include "policy/overload/return_delay.h"

namespace magnolia::policy {

namespace {

// A full server has a free slot after about one service time. A cold or
// unavailable server needs longer.
constexpr Duration MinDelayIfFull = std::chrono::milliseconds(60);
constexpr Duration MaxDelayIfFull = std::chrono::milliseconds(240);
constexpr Duration MinDelayIfUnavailable = std::chrono::milliseconds(150);
constexpr Duration MaxDelayIfUnavailable = std::chrono::milliseconds(500);

Duration randomDuration(Duration Min, Duration Max, RandomEngine &Random) {
  std::uniform_int_distribution<Duration::rep> Distribution(Min.count(),
                                                            Max.count());
  return Duration(Distribution(Random));
}

} // namespace

Duration returnDelay(ErrorKind Kind, RandomEngine &Random) {
  return Kind == ErrorKind::Overloaded
             ? randomDuration(MinDelayIfFull, MaxDelayIfFull, Random)
             : randomDuration(MinDelayIfUnavailable, MaxDelayIfUnavailable,
                              Random);
}

} // namespace magnolia::policy
