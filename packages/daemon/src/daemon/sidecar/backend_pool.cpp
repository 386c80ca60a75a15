#include "daemon/sidecar/backend_pool.h"

#include "daemon/net/socket.h"

#include <utility>

namespace magnolia::daemon {

void BackendPool::setAddress(const std::string &NewAddress,
                             std::uint16_t NewPort) {
  std::vector<std::unique_ptr<BackendConnection>> Closed;
  const std::lock_guard Lock(Mutex);
  if (Address == NewAddress && Port == NewPort) {
    return;
  }
  Address = NewAddress;
  Port = NewPort;
  ++Generation;
  Closed.swap(Idle);
}

void BackendPool::closeAll() {
  std::vector<std::unique_ptr<BackendConnection>> Closed;
  const std::lock_guard Lock(Mutex);
  ++Generation;
  Closed.swap(Idle);
}

std::unique_ptr<BackendConnection>
BackendPool::takeIdle(policy::TimePoint Now, policy::Duration LongestIdle,
                      bool &ClosedEarly) {
  const std::lock_guard Lock(Mutex);
  while (!Idle.empty() && Now - Idle.back()->IdleSince <= LongestIdle) {
    std::unique_ptr<BackendConnection> Free = std::move(Idle.back());
    Idle.pop_back();
    if (isUsable(Free->Socket.fd())) {
      Free->Reused = true;
      return Free;
    }
    ClosedEarly |= Now - Free->IdleSince < EarlyCloseTime;
  }
  return nullptr;
}

std::unique_ptr<BackendConnection>
BackendPool::open(policy::TimePoint Deadline) {
  std::string To;
  std::uint16_t ToPort = 0;
  std::uint64_t ToGeneration = 0;
  {
    const std::lock_guard Lock(Mutex);
    To = Address;
    ToPort = Port;
    ToGeneration = Generation;
  }
  UniqueFd Socket = connectTcp(To, ToPort, Deadline);
  if (!Socket.valid()) {
    return nullptr;
  }
  return std::make_unique<BackendConnection>(BackendConnection{
      .Socket = std::move(Socket),
      .Reader = HttpReader(HttpReader::Kind::Response, Limits, Memory),
      .Generation = ToGeneration,
      .Reused = false});
}

void BackendPool::give(std::unique_ptr<BackendConnection> Free,
                       policy::TimePoint Now) {
  const std::lock_guard Lock(Mutex);
  Free->IdleSince = Now;
  if (Free->Generation == Generation) {
    Idle.push_back(std::move(Free));
  }
}

} // namespace magnolia::daemon
