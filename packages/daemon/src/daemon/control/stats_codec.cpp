#include "daemon/control/stats_codec.h"

#include "policy/rollout/stats_report.h"

#include <algorithm>
#include <wire/control.pb.h>

namespace magnolia::daemon {

namespace {

void toWire(const policy::VersionCounts &Counts, wire::VersionCounts &Result) {
  Result.set_requests(Counts.Requests);
  Result.set_failures(Counts.Failures);
  for (const std::uint32_t Bucket : Counts.Latency) {
    Result.add_latency_buckets(Bucket);
  }
}

policy::VersionCounts fromWire(const wire::VersionCounts &Counts) {
  policy::VersionCounts Result;
  Result.Requests = Counts.requests();
  Result.Failures = std::min(Counts.failures(), Counts.requests());
  const std::size_t Buckets =
      std::min(Result.Latency.size(),
               static_cast<std::size_t>(Counts.latency_buckets_size()));
  std::copy_n(Counts.latency_buckets().begin(), Buckets,
              Result.Latency.begin());
  return Result;
}

} // namespace

wire::EvidenceRequest toRequest(const std::string &Service,
                                const policy::StatsReport &Report) {
  wire::EvidenceRequest Request;
  Request.set_node(Report.Node);
  Request.set_incarnation(Report.Run);
  Request.set_window(Report.Window);
  Request.set_service(Service);
  Request.set_move(Report.RolloutId);
  Request.set_step(Report.Step);
  for (const policy::RouteStats &Route : Report.Routes) {
    wire::RouteEvidence &Added = *Request.add_routes();
    Added.set_route(Route.Route);
    toWire(Route.New, *Added.mutable_new_version());
    toWire(Route.Old, *Added.mutable_old_version());
  }
  return Request;
}

std::optional<policy::StatsReport>
toReport(const wire::EvidenceRequest &Request) {
  if (static_cast<std::size_t>(Request.routes_size()) >
      policy::StatsReport::MaxRoutes) {
    return std::nullopt;
  }
  policy::StatsReport Report = {.Node = Request.node(),
                                .Run = Request.incarnation(),
                                .RolloutId = Request.move(),
                                .Window = Request.window(),
                                .Step = Request.step(),
                                .Routes = {}};
  for (const wire::RouteEvidence &Route : Request.routes()) {
    Report.Routes.push_back({.Route = Route.route(),
                             .New = fromWire(Route.new_version()),
                             .Old = fromWire(Route.old_version())});
  }
  return Report;
}

} // namespace magnolia::daemon
