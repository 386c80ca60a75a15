#ifndef DAEMON_MEMORY_HELD_BYTES_H
#define DAEMON_MEMORY_HELD_BYTES_H

#include <cstddef>

namespace magnolia::daemon {

class BodyMemory;

// Share of the node's memory that one body uses. It is returned when this
// object is destroyed.
class HeldBytes {
public:
  // Bodies up to this size are not counted: the number of connections limits
  // them.
  static constexpr std::size_t UncountedBytes = 4096;

  explicit HeldBytes(BodyMemory &Memory) : Memory(Memory) {}
  ~HeldBytes();
  HeldBytes(const HeldBytes &) = delete;
  HeldBytes &operator=(const HeldBytes &) = delete;

  // Changes the share. Returns false and leaves it as it is if the body does
  // not fit.
  [[nodiscard]] bool resize(std::size_t Wanted);

private:
  BodyMemory &Memory;
  std::size_t Bytes = 0;
};

} // namespace magnolia::daemon

#endif
