#ifndef DAEMON_ANNOUNCE_REPORT_CLEANUP_H
#define DAEMON_ANNOUNCE_REPORT_CLEANUP_H

#include "policy/core/types.h"
#include "store/core/store_operations.h"

#include <cstddef>

namespace magnolia::daemon {

// Deletes the stored reports of servers that left so long ago that no late
// report of them can arrive. An entry that was written again in the meantime is
// kept. Returns the number of deleted entries.
std::size_t removeObsoleteReports(const store::StoreOperations &Store,
                                  policy::TimePoint WallNow);

} // namespace magnolia::daemon

#endif
