#ifndef DAEMON_NET_UNIQUE_FD_H
#define DAEMON_NET_UNIQUE_FD_H

#include <unistd.h>

#include <utility>

namespace magnolia::daemon {

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
      ::close(std::exchange(Fd, -1));
    }
  }
  [[nodiscard]] int fd() const { return Fd; }
  [[nodiscard]] bool valid() const { return Fd >= 0; }

private:
  int Fd = -1;
};

} // namespace magnolia::daemon

#endif
