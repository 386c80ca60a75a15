#include "daemon/entry/entry.h"

#include <random>

namespace magnolia::daemon {

policy::RandomEngine &threadEngine() {
  thread_local policy::RandomEngine Engine(std::random_device{}());
  return Engine;
}

} // namespace magnolia::daemon
