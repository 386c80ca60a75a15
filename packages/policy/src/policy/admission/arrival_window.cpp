#include "policy/admission/arrival_window.h"

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
