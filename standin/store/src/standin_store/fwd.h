#ifndef STANDIN_STORE_FWD_H
#define STANDIN_STORE_FWD_H

namespace magnolia::standin {

class KvState;
class StoreServer;
struct Counters;
struct Fault;
struct StoredEntry;

} // namespace magnolia::standin

#endif
