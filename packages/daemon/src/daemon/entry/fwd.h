#ifndef DAEMON_ENTRY_FWD_H
#define DAEMON_ENTRY_FWD_H

namespace magnolia::daemon {

class Entry;
class EntryCall;
class HttpService;
class Prober;
class RouteGate;
class ServiceTable;
struct EntryOptions;
struct ServiceRuntime;

} // namespace magnolia::daemon

#endif
