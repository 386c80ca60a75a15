#include "daemon/metrics/metrics.h"

#include <boost/histogram.hpp>

#include <sstream>

namespace magnolia::daemon {

namespace {

namespace hist = boost::histogram;

struct CounterRow {
  Counter Which;
  std::string_view Name;
  std::string_view Help;
};

constexpr std::array<CounterRow, CounterCount> Rows = {{
    {Counter::Requests, "requests", "Requests from callers."},
    {Counter::Responses, "answers", "Answers of backend servers to callers."},
    {Counter::Attempts, "attempts", "Requests sent to sidecars."},
    {Counter::LocalAttempts, "local_attempts",
     "Requests run by the own backend server without a peer connection."},
    {Counter::Retries, "retries", "Requests sent again to another sidecar."},
    {Counter::Hedges, "hedges", "Second copies of slow requests."},
    {Counter::HedgesWon, "hedges_won",
     "Second copies whose answer the caller received."},
    {Counter::HedgesCancelled, "hedges_cancelled",
     "Second copies cancelled because the first was answered or the caller "
     "left."},
    {Counter::HedgesOverLimit, "hedges_over_limit",
     "Second copies not sent because of the limit of the operators."},
    {Counter::HedgesRefused, "hedges_refused",
     "Second copies not sent for another reason, such as no free capacity."},
    {Counter::Fences, "fences", "Fences sent."},
    {Counter::FencesNeverRun, "fences_never_run",
     "Fences that proved that the request did not run."},
    {Counter::FencesStarted, "fences_started",
     "Fences that found the request started."},
    {Counter::FencesSilent, "fences_silent", "Fences without a result."},
    {Counter::Cancels, "cancels", "Requests cancelled by this entry node."},
    {Counter::RequestsShed, "requests_shed",
     "Requests rejected at the entry node because nested calls of their route "
     "find no capacity."},
    {Counter::ReturnsKept, "returns_kept",
     "Requests admitted first because their callers returned as asked."},
    {Counter::NestedCallsLost, "nested_calls_lost",
     "Calls of running requests that were rejected."},
    {Counter::SilentConnections, "silent_connections",
     "Busy peer connections that broke or went silent."},
    {Counter::PeerConnectFailures, "peer_connect_failures",
     "Sidecars that did not accept a connection."},
    {Counter::HandshakesRefused, "handshakes_refused",
     "Peer connections without a valid handshake."},
    {Counter::BrokenFrames, "broken_frames",
     "Peer connections closed for a malformed or unexpected frame."},
    {Counter::Probes, "probes", "Probes sent."},
    {Counter::ProbesFailed, "probes_failed", "Probes without a result."},
    {Counter::SidecarRequests, "sidecar_requests",
     "Requests that reached this sidecar."},
    {Counter::BackendConnections, "backend_connections",
     "Connections opened to the backend server."},
    {Counter::BackendConnectFailures, "backend_connect_failures",
     "Connections that the backend server refused."},
    {Counter::BackendBrokenAnswers, "backend_broken_answers",
     "Answers of the backend server that broke off or were malformed."},
    {Counter::BackendRestarts, "backend_restarts",
     "Changes of the backend server's incarnation."},
    {Counter::BackendSheds, "backend_sheds",
     "Requests that the backend server refused to run."},
    {Counter::BackendExtraAnswers, "backend_extra_answers",
     "Answers of the backend server to earlier requests, discarded."},
    {Counter::LoadPolls, "load_polls",
     "Reads of the backend server's load endpoint."},
    {Counter::MalformedRequests, "malformed_requests",
     "Requests that are no valid HTTP."},
    {Counter::LinkRejections, "link_rejections",
     "Requests with large bodies rejected because the link of the node is "
     "busy."},
    {Counter::PipelinedRequests, "pipelined_requests",
     "Requests started before the one in front of them was answered."},
    {Counter::PipelinePauses, "pipeline_pauses",
     "Times that input of a connection waited because of its limits."},
    {Counter::ColdWaits, "cold_waits",
     "Requests that waited for the rate of the cold backend server."},
    {Counter::ColdWaitsStarted, "cold_waits_started",
     "Requests that started after they waited for the rate of the cold backend "
     "server."},
}};

constexpr bool inOrder() {
  for (std::size_t I = 0; I < Rows.size(); ++I) {
    if (static_cast<std::size_t>(Rows[I].Which) != I) {
      return false;
    }
  }
  return true;
}
static_assert(inOrder(), "the table is indexed by counter");

constexpr std::array<std::string_view, TimingCount> TimingNames = {
    "request_seconds", "backend_seconds", "sidecar_own_seconds"};

// Bounds of the latency histograms in seconds and the number of buckets. Each
// bound is a fifth above the one before.
constexpr double LowestSeconds = 20e-6;
constexpr double HighestSeconds = 20.0;
constexpr unsigned Buckets = 76;

using Axis = hist::axis::regular<double, hist::axis::transform::log>;
using Storage =
    hist::dense_storage<hist::accumulators::thread_safe<std::uint64_t>>;
using Histogram = hist::histogram<std::tuple<Axis>, Storage>;

void writeHistogram(std::ostream &Text, std::string_view Name,
                    const Histogram &Times) {
  const auto &Bins = Times.axis(0);
  // The first bucket includes the values below the lowest bound.
  std::uint64_t Sum = Times.at(-1).load();
  Text << "# TYPE magnolia_" << Name << " histogram\n";
  for (int I = 0; I < Bins.size(); ++I) {
    Sum += Times.at(I).load();
    Text << "magnolia_" << Name << "_bucket{le=\"" << Bins.bin(I).upper()
         << "\"} " << Sum << "\n";
  }
  Sum += Times.at(Bins.size()).load();
  Text << "magnolia_" << Name << "_bucket{le=\"+Inf\"} " << Sum << "\n"
       << "magnolia_" << Name << "_count " << Sum << "\n";
}

} // namespace

struct Metrics::Histograms {
  std::array<Histogram, TimingCount> All = {make(), make(), make()};
  std::array<std::atomic<std::int64_t>, TimingCount> SumsNs{};

  static Histogram make() {
    return {std::tuple(Axis(Buckets, LowestSeconds, HighestSeconds)),
            Storage()};
  }
};

Metrics::Metrics() : Times(std::make_unique<Histograms>()) {}

Metrics::~Metrics() = default;

void Metrics::count(Counter Which, std::uint64_t By) {
  Counts[static_cast<std::size_t>(Which)].fetch_add(By,
                                                    std::memory_order_relaxed);
}

void Metrics::countError(policy::ErrorKind Kind) {
  Errors[static_cast<std::size_t>(Kind)].fetch_add(1,
                                                   std::memory_order_relaxed);
}

void Metrics::time(Timing Which, policy::Duration Length) {
  const auto Index = static_cast<std::size_t>(Which);
  Times->All[Index](std::chrono::duration<double>(Length).count());
  Times->SumsNs[Index].fetch_add(Length.count(), std::memory_order_relaxed);
}

std::uint64_t Metrics::value(Counter Which) const {
  return Counts[static_cast<std::size_t>(Which)];
}

std::uint64_t Metrics::errors(policy::ErrorKind Kind) const {
  return Errors[static_cast<std::size_t>(Kind)];
}

std::string_view Metrics::name(Counter Which) {
  return Rows[static_cast<std::size_t>(Which)].Name;
}

std::string Metrics::prometheusText() const {
  std::ostringstream Text;
  for (const CounterRow &Row : Rows) {
    Text << "# HELP magnolia_" << Row.Name << "_total " << Row.Help
         << "\n# TYPE magnolia_" << Row.Name << "_total counter\nmagnolia_"
         << Row.Name << "_total " << value(Row.Which) << "\n";
  }
  Text << "# HELP magnolia_errors_total Error answers to callers.\n"
          "# TYPE magnolia_errors_total counter\n";
  for (const policy::ErrorEntry &Entry : policy::errorTable()) {
    Text << "magnolia_errors_total{kind=\"" << Entry.Name << "\",run=\""
         << policy::toString(Entry.Run) << "\"} " << errors(Entry.Kind) << "\n";
  }
  for (std::size_t I = 0; I < TimingCount; ++I) {
    writeHistogram(Text, TimingNames[I], Times->All[I]);
    Text << "magnolia_" << TimingNames[I] << "_sum "
         << static_cast<double>(Times->SumsNs[I].load()) / 1e9 << "\n";
  }
  return Text.str();
}

} // namespace magnolia::daemon
