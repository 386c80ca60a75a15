#ifndef DAEMON_ANNOUNCE_REPORT_STORE_H
#define DAEMON_ANNOUNCE_REPORT_STORE_H

#include "policy/core/fwd.h"
#include "store/core/entry.h"
#include "store/core/store_operations.h"

#include <mutex>
#include <optional>
#include <string>

namespace magnolia::policy {
struct BackendReport;
}

namespace magnolia::daemon {

// Keeps the last report of the local backend server in the store, for a restart
// of this node. A change costs one call, because the revision of the entry is
// remembered. The entry has no lease: leases may run out in an outage of the
// store, and the entry of a server that has left must outlive that.
class ReportStore {
public:
  // Without operations no report can be restored, so none has to be stored.
  explicit ReportStore(store::StoreOperations Operations)
      : Operations(std::move(Operations)) {}

  // Takes the revision of the entry from a read at the start of the node.
  void setRevision(const std::string &Key, store::Revision Revision);

  // Returns false if the report may not be in the store.
  [[nodiscard]] bool write(const policy::BackendReport &Report);
  // Returns whether the store holds the report, or nothing if it cannot be
  // read.
  [[nodiscard]] std::optional<bool> holds(const policy::BackendReport &Report);

private:
  [[nodiscard]] bool put(const policy::BackendReport &Report,
                         store::StoreError &LastError);
  [[nodiscard]] store::Revision revisionOf(const std::string &Key);

  const store::StoreOperations Operations;
  std::mutex Mutex;
  // Last known revision of the entry, 0 if it is not known.
  std::string LastKey;
  store::Revision LastRevision = 0;
};

} // namespace magnolia::daemon

#endif
