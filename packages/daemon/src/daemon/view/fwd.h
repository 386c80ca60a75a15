#ifndef DAEMON_VIEW_FWD_H
#define DAEMON_VIEW_FWD_H

namespace magnolia::daemon {

struct BackendEndpoint;
struct ClusterView;
struct ResponseCounts;
struct ResponseSample;
struct LocalBackendState;
struct RouteRule;
struct ServiceView;
class ResponseRecorder;
class LocalBackend;
class ShareOverrides;
class ViewHolder;

} // namespace magnolia::daemon

#endif
