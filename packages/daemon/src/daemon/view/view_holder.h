#ifndef DAEMON_VIEW_VIEW_HOLDER_H
#define DAEMON_VIEW_VIEW_HOLDER_H

#include "daemon/view/cluster_view.h"

#include <memory>
#include <mutex>

namespace magnolia::daemon {

// Hands the current view from the control thread to the traffic threads.
class ViewHolder {
public:
  // Replaces the view and gives it the next sequence number.
  void publish(ClusterView View);

  // Never null: before the first publish it is an empty view.
  [[nodiscard]] std::shared_ptr<const ClusterView> current() const;

private:
  mutable std::mutex Mutex;
  std::shared_ptr<const ClusterView> View =
      std::make_shared<const ClusterView>();
};

} // namespace magnolia::daemon

#endif
