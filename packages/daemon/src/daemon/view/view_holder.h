#ifndef DAEMON_VIEW_VIEW_HOLDER_H
#define DAEMON_VIEW_VIEW_HOLDER_H

#include "daemon/view/cluster_view.h"

#include <memory>
#include <mutex>

namespace magnolia::daemon {

// Publishes the current view of the control thread to the traffic threads.
class ViewHolder {
public:
  // Replaces the current view and sets the sequence number of the new one.
  void publish(ClusterView View);

  // Never null; the view is empty before the first publish.
  [[nodiscard]] std::shared_ptr<const ClusterView> current() const;

private:
  mutable std::mutex Mutex;
  std::shared_ptr<const ClusterView> View =
      std::make_shared<const ClusterView>();
};

} // namespace magnolia::daemon

#endif
