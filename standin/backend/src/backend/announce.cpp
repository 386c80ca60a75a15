#include "backend/announce.h"

#include <chrono>
#include <httplib.h>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

namespace magnolia::standin {

namespace {

constexpr auto RetryPause = std::chrono::milliseconds(100);
constexpr int MostTries = 100;

std::string announcement(const BackendOptions &Options,
                         std::uint64_t Incarnation) {
  return nlohmann::json{{"service", Options.Service},
                        {"version", Options.Version},
                        {"port", Options.Port},
                        {"slots", Options.Slots},
                        {"connections", Options.Connections},
                        {"incarnation", Incarnation}}
      .dump();
}

bool accepted(const httplib::Result &Answer) {
  return Answer && Answer->status >= 200 && Answer->status < 300;
}

} // namespace

bool announce(const BackendOptions &Options, std::uint64_t Incarnation) {
  if (Options.NodePort == 0) {
    return true;
  }
  const auto Body = announcement(Options, Incarnation);
  for (int Try = 0; Try < MostTries; ++Try) {
    httplib::Client Client(Options.NodeAddress, Options.NodePort);
    Client.set_connection_timeout(1);
    Client.set_read_timeout(1);
    if (accepted(Client.Post("/-/backend", Body, "application/json"))) {
      return true;
    }
    std::this_thread::sleep_for(RetryPause);
  }
  return false;
}

bool deregister(const BackendOptions &Options, std::uint64_t Incarnation) {
  if (Options.NodePort == 0) {
    return true;
  }
  httplib::Client Client(Options.NodeAddress, Options.NodePort);
  Client.set_connection_timeout(1);
  Client.set_read_timeout(1);
  return accepted(Client.Delete(
      "/-/backend", announcement(Options, Incarnation), "application/json"));
}

} // namespace magnolia::standin
