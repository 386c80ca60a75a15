#include "daemon/view/local_backend.h"

#include <utility>

namespace magnolia::daemon {

void LocalBackend::setListener(Listener NewListener) {
  OnChange = std::move(NewListener);
}

void LocalBackend::update(LocalBackendState NewState) {
  change([&](LocalBackendState &Next) { Next = std::move(NewState); });
}

void LocalBackend::setDraining(bool Draining) {
  change([Draining](LocalBackendState &Next) { Next.Draining = Draining; });
}

void LocalBackend::setPresent(bool Present) {
  change([Present](LocalBackendState &Next) { Next.Present = Present; });
}

void LocalBackend::setIncarnation(policy::Incarnation Run) {
  change([Run](LocalBackendState &Next) { Next.Run = Run; });
}

LocalBackendState LocalBackend::state() const {
  const std::lock_guard Lock(Mutex);
  return State;
}

void LocalBackend::change(
    const std::function<void(LocalBackendState &)> &Edit) {
  LocalBackendState Next;
  {
    const std::lock_guard Lock(Mutex);
    Next = State;
    Edit(Next);
    if (Next == State) {
      return;
    }
    State = Next;
  }
  if (OnChange) {
    OnChange(Next);
  }
}

} // namespace magnolia::daemon
