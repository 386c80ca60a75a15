#ifndef DAEMON_NET_UNIQUE_FD_H
#define DAEMON_NET_UNIQUE_FD_H

#include <cstdint>
#include <utility>

namespace magnolia::daemon {

// Closes a descriptor and increments the close count of its number.
void closeDescriptor(int Fd);

// Returns how often a descriptor of this number was closed. A FiberLoop uses it
// to detect that a registered number now belongs to another file.
[[nodiscard]] std::uint32_t closeCount(int Fd);

// Owns a file descriptor.
class UniqueFd {
public:
  UniqueFd() = default;
  explicit UniqueFd(int Descriptor) : Fd(Descriptor) {}
  UniqueFd(UniqueFd &&Other) noexcept : Fd(std::exchange(Other.Fd, -1)) {}
  UniqueFd &operator=(UniqueFd &&Other) noexcept {
    if (this != &Other) {
      reset();
      Fd = std::exchange(Other.Fd, -1);
    }
    return *this;
  }
  UniqueFd(const UniqueFd &) = delete;
  UniqueFd &operator=(const UniqueFd &) = delete;
  ~UniqueFd() { reset(); }

  void reset() {
    if (Fd >= 0) {
      closeDescriptor(std::exchange(Fd, -1));
    }
  }
  [[nodiscard]] int fd() const { return Fd; }
  [[nodiscard]] bool valid() const { return Fd >= 0; }

private:
  int Fd = -1;
};

} // namespace magnolia::daemon

#endif
