#include "policy/admission/arrival_window.h"

#include <algorithm>

namespace magnolia::policy {

namespace {

constexpr Duration Second = std::chrono::seconds(1);

std::int64_t secondOf(TimePoint Time) {
  return Time.time_since_epoch() / Second;
}

void trim(ArrivalWindow &Window, TimePoint Now) {
  while (!Window.LastSecond.empty() &&
         Now - Window.LastSecond.front() > Second) {
    Window.LastSecond.pop_front();
  }
}

} // namespace

void recordArrival(ArrivalWindow &Window, bool Repeat, TimePoint Now) {
  trim(Window, Now);
  Window.LastSecond.push_back(Now);
  const std::int64_t Number = secondOf(Now);
  ArrivalWindow::Bucket &Bucket =
      Window.Buckets[static_cast<std::size_t>(Number) % ArrivalWindow::Seconds];
  if (Bucket.Second != Number) {
    Bucket = {.Second = Number};
  }
  ++(Repeat ? Bucket.Retries : Bucket.FirstAttempts);
}

std::size_t arrivalsInLastSecond(ArrivalWindow &Window, TimePoint Now) {
  trim(Window, Now);
  return Window.LastSecond.size();
}

TimePoint timeWithFewer(const ArrivalWindow &Window, std::size_t Count,
                        TimePoint Now) {
  const std::deque<TimePoint> &Sent = Window.LastSecond;
  if (Sent.size() < Count) {
    return Now;
  }
  // A request counts until a whole second has passed, inclusively.
  return std::max(Now, Sent[Sent.size() - Count] + Second + Duration(1));
}

bool removeArrival(ArrivalWindow &Window, TimePoint At) {
  std::deque<TimePoint> &Sent = Window.LastSecond;
  const auto Found = std::find(Sent.begin(), Sent.end(), At);
  if (Found == Sent.end()) {
    return false;
  }
  Sent.erase(Found);
  return true;
}

bool isRetryWithinBudget(const ArrivalWindow &Window, double Ratio,
                         double Slack, TimePoint Now) {
  const std::int64_t Number = secondOf(Now);
  double FirstAttempts = 0;
  double Retries = 0;
  for (const ArrivalWindow::Bucket &Bucket : Window.Buckets) {
    if (Number - Bucket.Second <
        static_cast<std::int64_t>(ArrivalWindow::Seconds)) {
      FirstAttempts += Bucket.FirstAttempts;
      Retries += Bucket.Retries;
    }
  }
  return Retries + 1 <= FirstAttempts * Ratio + Slack;
}

} // namespace magnolia::policy
