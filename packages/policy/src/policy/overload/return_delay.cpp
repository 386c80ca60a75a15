#include "policy/overload/return_delay.h"

namespace magnolia::policy {

namespace {

// A full server has a free slot again after about one service time; a cold or
// missing one takes longer.
constexpr Duration ShortestFull = std::chrono::milliseconds(60);
constexpr Duration LongestFull = std::chrono::milliseconds(240);
constexpr Duration ShortestAway = std::chrono::milliseconds(150);
constexpr Duration LongestAway = std::chrono::milliseconds(500);

Duration between(Duration Shortest, Duration Longest, RandomEngine &Random) {
  std::uniform_int_distribution<Duration::rep> Draw(Shortest.count(),
                                                    Longest.count());
  return Duration(Draw(Random));
}

} // namespace

Duration returnDelay(ErrorKind Kind, RandomEngine &Random) {
  return Kind == ErrorKind::Overloaded
             ? between(ShortestFull, LongestFull, Random)
             : between(ShortestAway, LongestAway, Random);
}

} // namespace magnolia::policy
