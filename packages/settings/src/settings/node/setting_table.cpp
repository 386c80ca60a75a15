#include "settings/node/setting_entry.h"
#include "settings/record/limits.h"

#include <type_traits>
#include <utility>

namespace magnolia::settings {

namespace {

using Type = SettingType;

constexpr std::int64_t Port = 65'535;
constexpr std::int64_t NameBytes = MaxLabelSize;
constexpr std::int64_t PathBytes = 1024;
constexpr std::int64_t Mebibyte = 1024 * 1024;
constexpr std::int64_t HourMs = 3'600'000;

template <auto Member> void store(NodeSettings &S, SettingValue &&V) {
  using Field = std::remove_reference_t<decltype(S.*Member)>;
  if constexpr (std::is_same_v<Field, std::string>) {
    S.*Member = std::move(V.Text);
  } else {
    S.*Member = static_cast<Field>(V.Number);
  }
}

using Store = void (*)(NodeSettings &, SettingValue &&);

template <auto Member>
constexpr SettingEntry text(std::string_view Section, std::string_view Key,
                            std::string_view Default, std::int64_t Minimum,
                            std::int64_t Maximum, std::string_view Meaning) {
  return {.Section = Section,
          .Key = Key,
          .Default = Default,
          .Unit = "bytes",
          .Choices = {},
          .Meaning = Meaning,
          .Minimum = Minimum,
          .Maximum = Maximum,
          .Store = store<Member>,
          .Type = Type::Text};
}

constexpr SettingEntry number(std::string_view Section, std::string_view Key,
                              std::string_view Default, std::int64_t Minimum,
                              std::int64_t Maximum, std::string_view Unit,
                              std::string_view Meaning, Store Setter) {
  return {.Section = Section,
          .Key = Key,
          .Default = Default,
          .Unit = Unit,
          .Choices = {},
          .Meaning = Meaning,
          .Minimum = Minimum,
          .Maximum = Maximum,
          .Store = Setter,
          .Type = Type::Number};
}

template <auto Member>
constexpr SettingEntry number(std::string_view Section, std::string_view Key,
                              std::string_view Default, std::int64_t Minimum,
                              std::int64_t Maximum, std::string_view Unit,
                              std::string_view Meaning) {
  return number(Section, Key, Default, Minimum, Maximum, Unit, Meaning,
                store<Member>);
}

constexpr SettingEntry required(SettingEntry Entry) {
  Entry.Required = true;
  return Entry;
}

// Marks a setting whose new value a running node applies.
constexpr SettingEntry live(SettingEntry Entry) {
  Entry.Live = true;
  return Entry;
}

constexpr SettingEntry address(std::string_view Section, std::string_view Key,
                               std::string_view Default,
                               std::string_view Meaning, Store Setter) {
  return {.Section = Section,
          .Key = Key,
          .Default = Default,
          .Unit = {},
          .Choices = {},
          .Meaning = Meaning,
          .Store = Setter,
          .Type = Type::Address};
}

template <auto Member>
constexpr SettingEntry endpoint(std::string_view Section, std::string_view Key,
                                std::string_view Meaning) {
  return {.Section = Section,
          .Key = Key,
          .Default = {},
          .Unit = {},
          .Choices = {},
          .Meaning = Meaning,
          .Maximum = 1,
          .Store =
              [](NodeSettings &S, SettingValue &&V) {
                if (!V.Contacts.empty()) {
                  S.*Member = V.Contacts.front();
                }
              },
          .Type = Type::Endpoint};
}

using N = NodeSettings;
constexpr std::string_view Limits = "limits";

constexpr SettingEntry Table[] = {
    required(address("node", "address", {},
                     "IP address on which the node listens and under which "
                     "other nodes reach it.",
                     store<&N::Address>)),
    number<&N::HttpPort>(
        "node", "http_port", "0", 0, Port, {},
        "TCP port for callers; 0: use the address in [listen] callers."),
    required(number<&N::PeerPort>(
        "node", "peer_port", {}, 1, Port, {},
        "TCP port for other nodes; the node's identity is the hash of address "
        "and peer port.")),
    required(number<&N::ControlPort>("node", "control_port", {}, 1, Port, {},
                                     "TCP port for control calls.")),
    required(number<&N::GossipPort>("node", "gossip_port", {}, 1, Port, {},
                                    "UDP port for membership.")),
    text<&N::Region>("node", "region", "default", 1, NameBytes,
                     "Region of the node."),
    text<&N::Zone>("node", "zone", "default", 1, NameBytes,
                   "Availability zone of the node."),
    text<&N::ClusterKeyFile>(
        "node", "cluster_key_file", "", 0, PathBytes,
        "File with the key that authenticates the nodes to each other; 16 to "
        "4096 bytes. Empty: the first node generates the key and stores it in "
        "the store."),
    {.Section = "node",
     .Key = "interface",
     .Default = "native",
     .Unit = {},
     .Choices = "native|platform",
     .Meaning = "Interface to callers, backend servers and the store.",
     .Store = store<&N::Interface>,
     .Type = Type::Choice},
    endpoint<&N::Callers>(
        "listen", "callers",
        "Address on which callers are served; empty: http_port."),
    endpoint<&N::Announcements>("listen", "announcements",
                                "Address on which the backend server announces "
                                "itself; empty: http_port."),
    endpoint<&N::Readiness>("listen", "readiness",
                            "Address on which the node reports whether it is "
                            "ready; empty: http_port."),
    endpoint<&N::Metrics>(
        "listen", "metrics",
        "Address on which metrics and the dump are served; empty: http_port."),
    text<&N::LocalService>("local", "service", "", 0, NameBytes,
                           "Service of the local backend server if it "
                           "announces itself; empty: any."),
    endpoint<&N::LocalBackend>("local", "backend",
                               "Address of the local backend server; empty: "
                               "the one that it announces."),
    address("backend", "address", "127.0.0.1",
            "IP address of the local backend server.",
            store<&N::BackendAddress>),
    required(number<&N::BackendPort>("backend", "port", {}, 1, Port, {},
                                     "Port of the backend server.")),
    required(text<&N::BackendService>("backend", "service", {}, 1, NameBytes,
                                      "Service of the backend server.")),
    text<&N::BackendVersion>("backend", "version", "1", 1, NameBytes,
                             "Version of the backend server."),
    number<&N::BackendSlots>(
        "backend", "slots", "12", 1, 100'000, "requests",
        "Requests that the backend server runs concurrently."),
    number<&N::BackendConnections>(
        "backend", "connections", "200", 1, 100'000, "connections",
        "Connections that the backend server accepts."),
    text<&N::BackendHealthPath>(
        "backend", "health_path", "", 0, PathBytes,
        "Path of the backend server's health endpoint; empty: none."),
    text<&N::BackendLoadPath>("backend", "load_path", "", 0, PathBytes,
                              "Path of the backend server's load endpoint, "
                              "used as a hint only; empty: none."),
    address("store", "address", "127.0.0.1", "IP address of the store.",
            [](NodeSettings &S, SettingValue &&V) {
              S.Store.Address = std::move(V.Text);
            }),
    number("store", "port", "0", 0, Port, {},
           "Port of the store; 0: the node uses no store.",
           [](NodeSettings &S, SettingValue &&V) {
             S.Store.Port = static_cast<std::uint16_t>(V.Number);
           }),
    endpoint<&N::StoreEndpoint>(
        "store", "endpoint",
        "Address and port of the store, instead of the two keys above."),
    {.Section = "contacts",
     .Key = "nodes",
     .Default = {},
     .Unit = "nodes",
     .Choices = {},
     .Meaning = "Nodes to join through, as address:gossip_port separated by "
                "commas.",
     .Maximum = 64,
     .Store = [](NodeSettings &S,
                 SettingValue &&V) { S.Contacts = std::move(V.Contacts); },
     .Type = Type::Contacts},
    number<&N::BodyBytes>(Limits, "body_bytes", "16777216", 0, 1024 * Mebibyte,
                          "bytes", "Maximum size of a request body."),
    number<&N::ResponseBytes>(Limits, "answer_bytes", "16777216", 0,
                              1024 * Mebibyte, "bytes",
                              "Maximum size of a response body."),
    number<&N::BodyMemory>(
        Limits, "body_memory_bytes", "268435456", Mebibyte, 65'536 * Mebibyte,
        "bytes",
        "Memory for the bodies of all requests and responses that the node "
        "holds. A large body may use half of what the others leave; requests "
        "that do not fit are rejected as not run."),
    number<&N::HeaderBytes>(Limits, "header_bytes", "32768", 1024, 131'072,
                            "bytes",
                            "Maximum size of the head (first line and headers) "
                            "of a request or response."),
    number<&N::LinkBytesPerSecond>(
        Limits, "link_bytes_per_second", "0", 0, 1'000'000'000'000, "bytes/s",
        "Capacity of the instance's network link. Responses of bulk routes are "
        "then sent in pieces at a share of it, and requests that would wait "
        "too long for the link are rejected. Load reports state the share that "
        "received request bodies use, by which uploads avoid a busy link; 0: "
        "unknown, no limit, and the reported use is 0."),
    number<&N::HeldConnections>(
        Limits, "held_connections", "1024", 1, 100'000, "connections",
        "Maximum number of concurrent connections of callers."),
    number<&N::PipelineRequests>(
        Limits, "pipeline_requests", "16", 1, 256, "requests",
        "Requests of one connection that wait or run at the same time; the "
        "next ones are not read. With 1, requests run one after the other."),
    number<&N::PipelineBytes>(
        Limits, "pipeline_bytes", "1048576", 0, 1024 * Mebibyte, "bytes",
        "Bytes of responses of one connection that wait for their turn, from "
        "which on no further request of it is read or started."),
    number<&N::PeerConnections>(
        Limits, "peer_connections", "4096", 1, 100'000, "connections",
        "Maximum number of concurrent connections from other nodes."),
    number<&N::TrafficThreads>(
        Limits, "traffic_threads", "2", 1, 64, "threads",
        "Threads that forward requests; the control plane has its own thread."),
    number<&N::IdlePeerConnections>(
        Limits, "idle_peer_connections", "64", 0, 10'000, "connections",
        "Idle connections kept open to each sidecar."),
    live(number<&N::WaitQueue>(Limits, "wait_queue", "16", 0, 100'000,
                               "requests",
                               "Requests that may wait for a slot.")),
    number<&N::LedgerEntries>(
        Limits, "ledger_entries", "262144", 16, 10'000'000, "entries",
        "Non-idempotent requests remembered for ten minutes."),
    number<&N::Spin>(Limits, "spin_us", "50", 0, 10'000, "us",
                     "Time for which a traffic thread polls before it sleeps."),
    number<&N::ZoneDistance>(
        Limits, "zone_distance_us", "2000", 0, 1'000'000, "us",
        "Round trip to another availability zone of the region. If the value "
        "is too high, the node underestimates the latencies to that zone."),
    number<&N::Hops>(Limits, "hops", "17", 1, 17, "hops",
                     "Maximum depth of a call chain."),
    number<&N::Deadline>(Limits, "deadline_ms", "10000", 1, HourMs, "ms",
                         "Deadline of requests that specify none."),
    number<&N::DeadlineMaximum>(Limits, "deadline_maximum_ms", "60000", 1,
                                HourMs, "ms",
                                "Maximum deadline; a later one is shortened."),
    number<&N::CallerIdle>(
        Limits, "caller_idle_ms", "60000", 1, HourMs, "ms",
        "Time after which an idle connection of a caller is closed."),
    number<&N::CallerRead>(
        Limits, "caller_read_ms", "10000", 1, HourMs, "ms",
        "Longest pause while a request is read or a response is written."),
    number<&N::ConnectTimeout>(Limits, "connect_timeout_ms", "250", 1, 60'000,
                               "ms", "Timeout for opening a connection."),
    number<&N::PeerIdle>(
        Limits, "peer_idle_ms", "10000", 1, HourMs, "ms",
        "Time after which an idle connection to a sidecar is closed."),
    number<&N::PingAfter>(
        Limits, "ping_after_ms", "100", 1, 60'000, "ms",
        "Time without a response after which a busy connection is checked."),
    number<&N::PingTimeout>(
        Limits, "ping_timeout_ms", "150", 1, 60'000, "ms",
        "Time without a reply to the check after which the sidecar counts as "
        "unresponsive: idle connections to it are closed and an idempotent "
        "request is sent to another one."),
    number<&N::LostAfter>(
        Limits, "lost_after_ms", "800", 1, 60'000, "ms",
        "Time without a reply to the check after which the request counts as "
        "lost; at least ping_timeout_ms. Lost packets are retransmitted after "
        "200 ms or more."),
    number<&N::FenceTimeout>(
        Limits, "fence_timeout_ms", "300", 1, 60'000, "ms",
        "Longest wait for the result of a fence; then the outcome is unknown."),
    number<&N::LoadPoll>(
        Limits, "load_poll_ms", "1000", 20, HourMs, "ms",
        "Interval at which the load endpoint of the backend server is read."),
    number<&N::ShutdownAnnounce>(
        Limits, "shutdown_announce_ms", "1000", 0, 60'000, "ms",
        "Time for which a stopping node still accepts requests, so that the "
        "other nodes learn that it leaves."),
    number<&N::ShutdownDrain>(
        Limits, "shutdown_drain_ms", "1000", 0, 60'000, "ms",
        "Last part of that time, in which the backend server gets no new "
        "requests; at most shutdown_announce_ms."),
    number<&N::ShutdownTimeout>(
        Limits, "shutdown_timeout_ms", "15000", 1, HourMs, "ms",
        "Longest wait for requests in flight during shutdown."),
    number<&N::SilentAfter>(Limits, "silent_after_ms", "5000", 100, HourMs,
                            "ms",
                            "Time without a report after which a backend "
                            "server that announces itself is considered gone."),
    number<&N::StartJitter>(
        Limits, "start_spread_ms", "0", 0, 60'000, "ms",
        "Maximum random delay of the first call to the store. Set it if a "
        "whole fleet starts at once with an empty store: the first nodes then "
        "write the key and contacts that the others read."),
    number<&N::JoinDelay>(
        Limits, "join_delay_ms", "1000", 10, 60'000, "ms",
        "Time after the first contact with the fleet until a node watches the "
        "store; a node that is alone waits three times as long. Choose a "
        "short time for small fleets and a long one if thousands of nodes may "
        "start together."),
    live(number<&N::UsablePercent>(
        Limits, "usable_slots_percent", "100", 10, 100, "percent",
        "Share of the backend server's slots that is used concurrently.")),
    number<&N::FarPercent>(
        Limits, "far_percent", "100", 100, 100'000, "percent",
        "Factor on the expected response time of backend servers in other "
        "zones; above 100, requests stay in the local zone longer."),
    live(number<&N::ColdPercent>(
        Limits, "cold_rate_percent", "100", 10, 150, "percent",
        "Share of the stated rate of a cold backend server that is used.")),
    live(number<&N::SlowPercent>(
        Limits, "slow_percent", "0", 0, 100'000, "percent",
        "If work on the instance takes at least this percentage of the usual "
        "time, requests are passed on to other backend servers; 0: never.")),
    live(number<&N::RepeatPercent>(
        Limits, "repeat_percent", "0", 0, 100, "percent",
        "Share of the requests of ten seconds up to which the sidecar admits "
        "retries of requests that an earlier attempt already sent to a backend "
        "server; 0 with repeat_slack 0: all retries.")),
    live(number<&N::RepeatSlack>(
        Limits, "repeat_slack", "0", 0, 100'000, "requests",
        "Retries admitted in addition to that share.")),
    number<&N::RetryBurst>(
        Limits, "retry_burst", "20", 0, 100'000, "retries",
        "Retries of one service that a node may accumulate."),
    number<&N::RetryFloor>(
        Limits, "retry_floor", "1000", 0, 1'000'000, "retries per 100 s",
        "Retries of one service that a node may send regardless of traffic."),
    {.Section = "admission",
     .Key = "workload_aware",
     .Default = "off",
     .Unit = {},
     .Choices = "off|auto|on",
     .Meaning = "Whether admission weighs nested calls, priorities and the "
                "losses of nested calls; auto: while the routing table has "
                "routes of kind upload or download.",
     .Store = store<&N::WorkloadAware>,
     .Type = Type::Choice},
    {.Section = "admission",
     .Key = "shed_by_losses",
     .Default = "off",
     .Unit = {},
     .Choices = "off|on",
     .Meaning = "Whether the entry node rejects requests of routes whose runs "
                "lose nested calls, if workload_aware is in effect. It helps "
                "where a called service is overloaded, not where it fails at "
                "random.",
     .Store = store<&N::ShedByLosses>,
     .Type = Type::Choice},
    live(number<&N::HedgePercent>(
        "hedge", "percent", "0", 0, 20, "percent",
        "Second copies of slow idempotent requests per 100 requests of a "
        "service; 0: none. hedge_percent in a service file replaces it.")),
    live(number<&N::HedgeMinDelay>(
        "hedge", "min_delay_ms", "20", 1, 60'000, "ms",
        "Shortest time without a response after which a second copy is sent; "
        "at most deadline_maximum_ms.")),
    live(number<&N::HedgeQuantile>(
        "hedge", "quantile", "95",
        50, 99, "percent",
        "Quantile of the response times of a route that sets the delay.")),
    endpoint<&N::UsageEndpoint>(
        "usage", "endpoint",
        "Receiver of the usage report; empty: no counts are kept or sent."),
    number<&N::UsageWindow>("usage", "window_ms", "5000", 1000, HourMs, "ms",
                            "Length of a window of the usage report."),
    number<&N::UsageDelay>(
        "usage", "delay_ms", "10000", 1000, HourMs, "ms",
        "Time after the end of a window at which its report is due."),
    number<&N::UsageLease>(
        "usage", "lease_ms", "3000", 500, 60'000, "ms",
        "Time after a write to the store in which its writer may send "
        "reports. Another node waits for longer than it before it takes over."),
    live({.Section = "log",
          .Key = "level",
          .Default = "info",
          .Unit = {},
          .Choices = "debug|info|warning|error",
          .Meaning = "Lowest level that is logged.",
          .Store = store<&N::LogLevel>,
          .Type = Type::Choice}),
    text<&N::LogFile>(
        "log", "file", "", 0, PathBytes,
        "File that the log is appended to; empty: standard output."),
};

} // namespace

std::span<const SettingEntry> settingTable() { return Table; }

std::string rangeText(const SettingEntry &Entry) {
  std::string Range =
      std::to_string(Entry.Minimum) + " to " + std::to_string(Entry.Maximum);
  switch (Entry.Type) {
  case SettingType::Text:
    return "text of " + Range + " bytes";
  case SettingType::Address:
    return "an IPv4 address";
  case SettingType::Number:
    return Entry.Unit.empty() ? Range : Range + " " + std::string(Entry.Unit);
  case SettingType::Choice: {
    std::string Words(Entry.Choices);
    for (std::size_t At = Words.find('|'); At != std::string::npos;
         At = Words.find('|', At)) {
      Words.replace(At, 1, ", ");
    }
    return "one of " + Words;
  }
  case SettingType::Endpoint:
    return "address:port, or empty";
  case SettingType::Contacts:
    return "up to " + std::to_string(Entry.Maximum) +
           " address:port, separated by commas";
  }
  return Range;
}

} // namespace magnolia::settings
