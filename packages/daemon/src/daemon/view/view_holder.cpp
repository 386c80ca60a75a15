#include "daemon/view/view_holder.h"

#include <utility>

namespace magnolia::daemon {

void ViewHolder::publish(ClusterView NewView) {
  const std::lock_guard Lock(Mutex);
  NewView.Sequence = View->Sequence + 1;
  View = std::make_shared<const ClusterView>(std::move(NewView));
}

std::shared_ptr<const ClusterView> ViewHolder::current() const {
  const std::lock_guard Lock(Mutex);
  return View;
}

} // namespace magnolia::daemon
