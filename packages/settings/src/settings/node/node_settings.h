#ifndef SETTINGS_NODE_NODE_SETTINGS_H
#define SETTINGS_NODE_NODE_SETTINGS_H

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace magnolia::settings {

// Address and port of another process.
struct HostPort {
  std::string Address;
  std::uint16_t Port = 0;

  bool operator==(const HostPort &) const = default;
};

// Backend server named by the settings file, for a start without a control
// plane.
struct StaticEndpoint {
  std::string Service;
  std::string Address;
  std::uint16_t PeerPort = 0;
  std::string Zone;
  std::string Version;

  bool operator==(const StaticEndpoint &) const = default;
};

// All settings of magnoliad; the table in setting_table.cpp describes them.
struct NodeSettings {
  using Milliseconds = std::chrono::milliseconds;

  std::string Address;
  std::uint16_t HttpPort = 0;
  std::uint16_t PeerPort = 0;
  std::uint16_t ControlPort = 0;
  std::uint16_t GossipPort = 0;
  std::string Region;
  std::string Zone;
  // Empty if the key is kept in the store.
  std::string ClusterKeyFile;
  // Interface that callers, backend servers and the store use: native or
  // platform.
  std::string Interface;

  // Keys of section [interface], which only that interface knows.
  std::map<std::string, std::string> InterfaceKeys;

  // Addresses to listen on for callers, for announcements of the local backend
  // server, for readiness checks and for metrics. Those with port 0 are served
  // on HttpPort.
  HostPort Callers;
  HostPort Announcements;
  HostPort Readiness;
  HostPort Metrics;

  // Service and address of a local backend server that announces itself. An
  // empty service accepts any; an empty address means the announced one.
  std::string LocalService;
  HostPort LocalBackend;

  // True if the file has a [backend] section.
  bool HasBackend = false;
  std::string BackendAddress;
  std::uint16_t BackendPort = 0;
  std::string BackendService;
  std::string BackendVersion;
  std::uint32_t BackendSlots = 0;
  std::uint32_t BackendConnections = 0;
  std::string BackendHealthPath;
  std::string BackendLoadPath;

  // Port 0 if the file names no store.
  HostPort Store;
  // Address and port in one key; if the port is 0, the keys of Store apply.
  HostPort StoreEndpoint;
  std::vector<HostPort> Contacts;
  std::vector<StaticEndpoint> Static;

  std::size_t BodyBytes = 0;
  std::size_t ResponseBytes = 0;
  std::size_t HeaderBytes = 0;
  std::uint32_t HeldConnections = 0;
  // Limits on the requests of one connection of a caller that run at the same
  // time, and on the bytes of responses that wait for their turn.
  std::uint32_t PipelineRequests = 16;
  std::size_t PipelineBytes = std::size_t{1} << 20;
  std::uint32_t PeerConnections = 0;
  std::uint32_t TrafficThreads = 1;
  std::uint32_t IdlePeerConnections = 0;
  std::uint32_t WaitQueue = 0;
  std::uint32_t LedgerEntries = 0;
  std::chrono::microseconds Spin{};
  std::chrono::microseconds ZoneDistance{};
  std::uint32_t Hops = 0;
  Milliseconds Deadline{};
  Milliseconds DeadlineMaximum{};
  Milliseconds CallerIdle{};
  Milliseconds CallerRead{};
  Milliseconds ConnectTimeout{};
  Milliseconds PeerIdle{};
  Milliseconds PingAfter{};
  Milliseconds PingTimeout{};
  Milliseconds LostAfter{};
  Milliseconds FenceTimeout{};
  Milliseconds LoadPoll{};
  Milliseconds ShutdownAnnounce{};
  Milliseconds ShutdownDrain{};
  Milliseconds ShutdownTimeout{};
  std::size_t BodyMemory = std::size_t{256} << 20;
  // Bytes per second; 0 if unknown.
  double LinkBytesPerSecond = 0;
  // Time from the signal to stop until the process is killed, as the interface
  // states it; 0 if unknown. It replaces the sum of the times above.
  std::chrono::nanoseconds ShutdownGrace{};
  Milliseconds SilentAfter{};
  Milliseconds JoinDelay{};
  Milliseconds StartJitter{};
  std::uint32_t UsablePercent = 100;
  std::uint32_t FarPercent = 100;
  std::uint32_t ColdPercent = 100;
  std::uint32_t SlowPercent = 0;
  std::uint32_t RepeatPercent = 0;
  std::uint32_t RepeatSlack = 0;
  // Retry budget of one entry node and service: the burst, and the retries per
  // 100 seconds that are always allowed.
  std::uint32_t RetryBurst = 0;
  std::uint32_t RetryFloor = 0;

  // off, auto or on.
  std::string WorkloadAware;
  // off or on.
  std::string ShedByLosses;
  // Hedged requests: extra requests as a percentage of the requests of a
  // service (0: off), the smallest delay, and the quantile of the response
  // times of a route, in percent, that sets the delay.
  std::uint16_t HedgePercent = 0;
  Milliseconds HedgeMinDelay{20};
  std::uint16_t HedgeQuantile = 95;
  // Receiver of the usage report; port 0 if there is none.
  HostPort UsageEndpoint;
  Milliseconds UsageWindow{};
  Milliseconds UsageDelay{};
  Milliseconds UsageLease{};

  std::string LogLevel;
  std::string LogFile;
};

} // namespace magnolia::settings

#endif
