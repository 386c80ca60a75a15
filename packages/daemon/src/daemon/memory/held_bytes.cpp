#include "daemon/memory/held_bytes.h"

#include "daemon/memory/body_memory.h"

namespace magnolia::daemon {

HeldBytes::~HeldBytes() {
  if (Bytes > 0) {
    (void)Memory.resize(Bytes, 0);
  }
}

bool HeldBytes::resize(std::size_t Wanted) {
  const std::size_t Next = Wanted <= UncountedBytes ? 0 : Wanted;
  if (Next == Bytes) {
    return true;
  }
  if (!Memory.resize(Bytes, Next)) {
    return false;
  }
  Bytes = Next;
  return true;
}

} // namespace magnolia::daemon
