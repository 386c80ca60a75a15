#ifndef DAEMON_ENTRY_FWD_H
#define DAEMON_ENTRY_FWD_H

namespace magnolia::daemon {

class CallerConnection;
class CallerWatch;
class Entry;
class EntryCall;
class HttpService;
class Prober;
class RouteGate;
class ServiceTable;
class StartWaits;
struct EntryOptions;
struct HttpServiceOptions;
struct HttpServiceState;
struct ServiceRuntime;
struct ServiceState;
struct StatedCaller;

} // namespace magnolia::daemon

#endif
