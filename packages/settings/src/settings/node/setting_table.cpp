#include "settings/node/setting_entry.h"

#include <type_traits>
#include <utility>

namespace magnolia::settings {

namespace {

using Type = SettingType;

constexpr std::int64_t Port = 65'535;
constexpr std::int64_t NameBytes = 64;
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
    number<&N::HttpPort>("node", "http_port", "0", 0, Port, {},
                         "TCP port for callers; 0: [listen] callers says where "
                         "they are served."),
    required(number<&N::PeerPort>(
        "node", "peer_port", {}, 1, Port, {},
        "TCP port for other nodes; the node's identity is the hash of address "
        "and peer port.")),
    required(number<&N::ControlPort>("node", "control_port", {}, 1, Port, {},
                                     "TCP port for control calls (gRPC).")),
    required(number<&N::GossipPort>("node", "gossip_port", {}, 1, Port, {},
                                    "UDP port for membership.")),
    text<&N::Region>("node", "region", "default", 1, NameBytes,
                     "Region of the node."),
    text<&N::Zone>("node", "zone", "default", 1, NameBytes,
                   "Availability zone of the node."),
    text<&N::ClusterKeyFile>(
        "node", "cluster_key_file", "", 0, PathBytes,
        "File with the key that authenticates the nodes to each other; 16 to "
        "4096 bytes. Empty: the first node makes the key and keeps it in the "
        "store."),
    {.Section = "node",
     .Key = "interface",
     .Default = "native",
     .Unit = {},
     .Choices = "native|platform",
     .Meaning = "What callers, backend servers and the store speak.",
     .Store = store<&N::Interface>,
     .Type = Type::Choice},
    endpoint<&N::Callers>("listen", "callers",
                          "Where callers are served; empty: http_port."),
    endpoint<&N::Announcements>(
        "listen", "announcements",
        "Where the backend server announces itself; empty: http_port."),
    endpoint<&N::Readiness>("listen", "readiness",
                            "Where the node says whether it is ready; empty: "
                            "http_port."),
    endpoint<&N::Metrics>("listen", "metrics",
                          "Where metrics and the dump are served; empty: "
                          "http_port."),
    text<&N::LocalService>("local", "service", "", 0, NameBytes,
                           "Service of the backend server beside the node "
                           "where it announces itself; empty: any."),
    endpoint<&N::LocalBackend>(
        "local", "backend", "Its address; empty: the one that it announces."),
    address("backend", "address", "127.0.0.1",
            "IP address of the node's own backend server.",
            store<&N::BackendAddress>),
    required(number<&N::BackendPort>("backend", "port", {}, 1, Port, {},
                                     "Port of the backend server.")),
    required(text<&N::BackendService>("backend", "service", {}, 1, NameBytes,
                                      "Service that it belongs to.")),
    text<&N::BackendVersion>("backend", "version", "1", 1, NameBytes,
                             "Version that it runs."),
    number<&N::BackendSlots>(
        "backend", "slots", "12", 1, 100'000, "requests",
        "Requests that the backend server runs at the same time."),
    number<&N::BackendConnections>(
        "backend", "connections", "200", 1, 100'000, "connections",
        "Connections that the backend server accepts."),
    text<&N::BackendHealthPath>("backend", "health_path", "", 0, PathBytes,
                                "Path of its health endpoint; empty: none."),
    text<&N::BackendLoadPath>(
        "backend", "load_path", "", 0, PathBytes,
        "Path of its load endpoint, used as a hint only; empty: none."),
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
        "Address and port of the store, in place of the two "
        "keys above."),
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
                          "bytes", "Longest request body."),
    number<&N::ResponseBytes>(Limits, "answer_bytes", "16777216", 0,
                              1024 * Mebibyte, "bytes", "Longest answer body."),
    number<&N::HeaderBytes>(
        Limits, "header_bytes", "32768", 1024, 131'072, "bytes",
        "Longest head (first line and headers) of a request or answer."),
    number<&N::HeldConnections>(
        Limits, "held_connections", "1024", 1, 100'000, "connections",
        "Connections of callers held at the same time."),
    number<&N::PeerConnections>(
        Limits, "peer_connections", "4096", 1, 100'000, "connections",
        "Connections from other nodes held at the same time."),
    number<&N::TrafficThreads>(
        Limits, "traffic_threads", "2", 1, 64, "threads",
        "Threads that carry requests; control has a thread of its own."),
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
        "Round trip to another availability zone of the region. Too high a "
        "value makes the node take its latencies for shorter than they are."),
    number<&N::Hops>(Limits, "hops", "17", 1, 17, "hops",
                     "Longest call chain."),
    number<&N::Deadline>(Limits, "deadline_ms", "10000", 1, HourMs, "ms",
                         "Deadline of requests that name none."),
    number<&N::DeadlineMaximum>(Limits, "deadline_maximum_ms", "60000", 1,
                                HourMs, "ms",
                                "Longest deadline; a later one is shortened."),
    number<&N::CallerIdle>(
        Limits, "caller_idle_ms", "60000", 1, HourMs, "ms",
        "Time after which an idle connection of a caller is closed."),
    number<&N::CallerRead>(
        Limits, "caller_read_ms", "10000", 1, HourMs, "ms",
        "Longest pause while a request is read or an answer written."),
    number<&N::ConnectTimeout>(Limits, "connect_timeout_ms", "250", 1, 60'000,
                               "ms", "Longest time to open a connection."),
    number<&N::PeerIdle>(
        Limits, "peer_idle_ms", "10000", 1, HourMs, "ms",
        "Time after which an idle connection to a sidecar is closed."),
    number<&N::PingAfter>(
        Limits, "ping_after_ms", "100", 1, 60'000, "ms",
        "Time without an answer after which a busy connection is checked."),
    number<&N::PingTimeout>(
        Limits, "ping_timeout_ms", "150", 1, 60'000, "ms",
        "Time without a reply to the check after which it counts as silent: "
        "idle connections to the sidecar are closed and an idempotent request "
        "is sent to another one."),
    number<&N::LostAfter>(
        Limits, "lost_after_ms", "800", 1, 60'000, "ms",
        "Time without a reply to the check after which the request counts as "
        "lost; at least ping_timeout_ms. Lost packets are sent again after 200 "
        "ms and more."),
    number<&N::FenceTimeout>(
        Limits, "fence_timeout_ms", "300", 1, 60'000, "ms",
        "Longest wait for the result of a fence; then the outcome is unknown."),
    number<&N::LoadPoll>(
        Limits, "load_poll_ms", "1000", 20, HourMs, "ms",
        "Interval at which the load endpoint of the backend server is read."),
    number<&N::ShutdownAnnounce>(
        Limits, "shutdown_announce_ms", "1000", 0, 60'000, "ms",
        "Time for which a stopping node still accepts work, so that the other "
        "nodes learn that it leaves."),
    number<&N::ShutdownDrain>(
        Limits, "shutdown_drain_ms", "1000", 0, 60'000, "ms",
        "Last part of that time, in which the backend server takes no new "
        "work; at most shutdown_announce_ms."),
    number<&N::ShutdownTimeout>(
        Limits, "shutdown_timeout_ms", "15000", 1, HourMs, "ms",
        "Longest wait for requests in flight at a stop."),
    number<&N::SilentAfter>(
        Limits, "silent_after_ms", "5000", 100, HourMs, "ms",
        "Time without a report after which a backend server that announces "
        "itself counts as gone."),
    number<&N::StartJitter>(
        Limits, "start_spread_ms", "0", 0, 60'000, "ms",
        "The first call to the store comes after a random part of this time. "
        "Set where a whole fleet starts at once with an empty store: the first "
        "nodes then write the key and contacts that the others read."),
    number<&N::JoinDelay>(
        Limits, "join_delay_ms", "1000", 10, 60'000, "ms",
        "Time after the first contact with the fleet until a node watches the "
        "store; alone it waits three times as long. Short in small fleets, "
        "long where thousands of nodes may start together."),
    live(number<&N::UsablePercent>(
        Limits, "usable_slots_percent", "100", 10, 100, "percent",
        "Part of the backend server's slots that is used at the same time.")),
    number<&N::FarPercent>(
        Limits, "far_percent", "100", 100, 100'000, "percent",
        "Factor on the expected time of backend servers in other zones; above "
        "100 requests stay in the own zone longer."),
    live(number<&N::ColdPercent>(
        Limits, "cold_rate_percent", "100", 10, 150, "percent",
        "Part of the stated rate of a cold backend server that is used.")),
    live(number<&N::SlowPercent>(
        Limits, "slow_percent", "0", 0, 100'000, "percent",
        "A backend server on whose instance work takes this percentage of the "
        "usual time passes requests on to others; 0: none does.")),
    live(number<&N::RepeatPercent>(
        Limits, "repeat_percent", "0", 0, 100, "percent",
        "Repeats of requests that reached a server before, as a part of the "
        "requests of ten seconds, that the sidecar lets through; 0 with "
        "repeat_slack 0: all.")),
    live(number<&N::RepeatSlack>(Limits, "repeat_slack", "0", 0, 100'000,
                                 "requests", "Repeats on top of that part.")),
    number<&N::RetryBurst>(Limits, "retry_burst", "20", 0, 100'000, "retries",
                           "Retries of one service that a node may save up."),
    number<&N::RetryFloor>(
        Limits, "retry_floor", "1000", 0, 1'000'000, "retries per 100 s",
        "Retries of one service that a node may send whatever the traffic."),
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
