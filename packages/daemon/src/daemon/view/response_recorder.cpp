#include "daemon/view/response_recorder.h"

#include <utility>

namespace magnolia::daemon {

std::size_t latencyBucketOf(policy::Duration Latency) {
  std::size_t Bucket = 0;
  policy::Duration Bound = LatencyBucketUnit;
  while (Bucket + 1 < LatencyBucketCount && Latency >= Bound) {
    Bound *= 2;
    ++Bucket;
  }
  return Bucket;
}

ResponseRecorder::ResponseRecorder(std::size_t Maximum)
    : MaximumEntries(Maximum) {}

void ResponseRecorder::setHook(Hook NewHook) { OnSample = std::move(NewHook); }

void ResponseRecorder::record(const ResponseSample &Sample) {
  {
    const std::lock_guard Lock(Mutex);
    const KeyLess::View Wanted = {Sample.Service, Sample.Route, Sample.Version};
    auto Found = Entries.find(Wanted);
    if (Found == Entries.end() && Entries.size() < MaximumEntries) {
      ResponseCounts Count;
      Count.Service = Sample.Service;
      Count.Route = Sample.Route;
      Count.Version = Sample.Version;
      Key NewKey = {Count.Service, Count.Route, Count.Version};
      Found = Entries.emplace(std::move(NewKey), std::move(Count)).first;
    }
    if (Found == Entries.end()) {
      ++Dropped;
    } else {
      ResponseCounts &Count = Found->second;
      ++Count.Requests;
      Count.Failures += Sample.Failed ? 1 : 0;
      ++Count.LatencyBuckets[latencyBucketOf(Sample.Latency)];
    }
  }
  if (OnSample) {
    OnSample(Sample);
  }
}

std::vector<ResponseCounts> ResponseRecorder::drain() {
  std::map<Key, ResponseCounts, KeyLess> Drained;
  {
    const std::lock_guard Lock(Mutex);
    Drained.swap(Entries);
  }
  std::vector<ResponseCounts> Counts;
  Counts.reserve(Drained.size());
  for (auto &[Ignored, Count] : Drained) {
    Counts.push_back(std::move(Count));
  }
  return Counts;
}

std::uint64_t ResponseRecorder::dropped() const {
  const std::lock_guard Lock(Mutex);
  return Dropped;
}

} // namespace magnolia::daemon
