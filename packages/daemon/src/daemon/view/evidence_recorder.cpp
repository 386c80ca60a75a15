#include "daemon/view/evidence_recorder.h"

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

EvidenceRecorder::EvidenceRecorder(std::size_t Maximum)
    : MaximumEntries(Maximum) {}

void EvidenceRecorder::setHook(Hook NewHook) { OnSample = std::move(NewHook); }

void EvidenceRecorder::record(const EvidenceSample &Sample) {
  {
    const std::lock_guard Lock(Mutex);
    const KeyLess::View Wanted = {Sample.Service, Sample.Route, Sample.Version};
    auto Found = Entries.find(Wanted);
    if (Found == Entries.end() && Entries.size() < MaximumEntries) {
      EvidenceCount Count;
      Count.Service = Sample.Service;
      Count.Route = Sample.Route;
      Count.Version = Sample.Version;
      Key NewKey = {Count.Service, Count.Route, Count.Version};
      Found = Entries.emplace(std::move(NewKey), std::move(Count)).first;
    }
    if (Found == Entries.end()) {
      ++Dropped;
    } else {
      EvidenceCount &Count = Found->second;
      ++Count.Requests;
      Count.Failures += Sample.Failed ? 1 : 0;
      ++Count.LatencyBuckets[latencyBucketOf(Sample.Latency)];
    }
  }
  if (OnSample) {
    OnSample(Sample);
  }
}

std::vector<EvidenceCount> EvidenceRecorder::drain() {
  std::map<Key, EvidenceCount, KeyLess> Drained;
  {
    const std::lock_guard Lock(Mutex);
    Drained.swap(Entries);
  }
  std::vector<EvidenceCount> Counts;
  Counts.reserve(Drained.size());
  for (auto &[Ignored, Count] : Drained) {
    Counts.push_back(std::move(Count));
  }
  return Counts;
}

std::uint64_t EvidenceRecorder::dropped() const {
  const std::lock_guard Lock(Mutex);
  return Dropped;
}

} // namespace magnolia::daemon
