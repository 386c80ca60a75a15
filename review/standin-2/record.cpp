#include "record.h"

#include <array>
#include <cstdio>

namespace review {

double Record::seconds() const {
  return std::chrono::duration<double>(Clock::now() - Start).count();
}

void Record::add(const std::string &Line) {
  std::array<char, 32> Time{};
  const std::lock_guard Lock(Mutex);
  std::snprintf(Time.data(), Time.size(), "%8.3f  ", seconds());
  File << Time.data() << Line << std::endl;
}

} // namespace review
