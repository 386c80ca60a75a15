#ifndef DAEMON_VIEW_FWD_H
#define DAEMON_VIEW_FWD_H

namespace magnolia::daemon {

struct BackendEndpoint;
struct ClusterView;
struct EvidenceCount;
struct EvidenceSample;
struct LocalBackendState;
struct RouteRule;
struct ServiceView;
class EvidenceRecorder;
class LocalBackend;
class VersionCuts;
class ViewHolder;

} // namespace magnolia::daemon

#endif
