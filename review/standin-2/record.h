#ifndef REVIEW_STANDIN_2_RECORD_H
#define REVIEW_STANDIN_2_RECORD_H

#include "http.h"

#include <fstream>
#include <mutex>

namespace review {

// Writes what was sent, answered and run, one line each with the time since
// the start.
class Record {
public:
  explicit Record(const std::string &Path) : File(Path) {}

  void add(const std::string &Line);
  [[nodiscard]] double seconds() const;

private:
  const TimePoint Start = Clock::now();
  std::mutex Mutex;
  std::ofstream File;
};

} // namespace review

#endif
