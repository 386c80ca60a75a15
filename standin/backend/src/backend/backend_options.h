#ifndef BACKEND_BACKEND_OPTIONS_H
#define BACKEND_BACKEND_OPTIONS_H

#include <cstdint>
#include <optional>
#include <span>
#include <string>

namespace magnolia::standin {

// Command line of the stand-in backend server.
struct BackendOptions {
  std::string Address = "127.0.0.1";
  int Port = 0;
  std::string Service = "catalogue";
  std::string Version = "1";
  int Slots = 12;
  int Connections = 200;
  int ServiceTimeUs = 2000;
  int ColdStartMs = 3000;
  // Maximum age of health and load reports.
  int ReportLagMs = 500;
  std::uint64_t Seed = 1;
  // Node that the server registers with; none if the port is 0.
  std::string NodeAddress;
  int NodePort = 0;
};

// Parses the command line. Returns none and sets LastError if it is invalid.
[[nodiscard]] std::optional<BackendOptions>
parseBackendOptions(std::span<char *> Arguments, std::string &LastError);

} // namespace magnolia::standin

#endif
