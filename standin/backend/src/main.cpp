#include <chrono>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <pthread.h>
#include <span>
#include <string>
#include <thread>

#include "backend/announce.h"
#include "backend/backend_options.h"
#include "backend/backend_server.h"

namespace {

// Blocks the signals in every thread. Only sigwait on the main thread receives
// them.
sigset_t blockSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  return Signals;
}

} // namespace

int main(int Count, char **Arguments) {
  using namespace magnolia::standin;
  std::string LastError;
  const auto Options = parseBackendOptions(
      std::span(Arguments, static_cast<std::size_t>(Count)), LastError);
  if (!Options) {
    std::cerr << "standin-backend: " << LastError << '\n';
    return 2;
  }
  const sigset_t Signals = blockSignals();
  BackendServer Server(*Options);
  if (!Server.bind()) {
    std::cerr << "standin-backend: cannot listen on " << Options->Address << ':'
              << Options->Port << '\n';
    return 1;
  }
  std::thread Serving([&Server] { Server.serve(); });
  std::thread Announcing([&] {
    if (!announce(*Options, Server.incarnation())) {
      std::cerr << "standin-backend: the node did not accept the "
                   "announcement\n";
    }
  });
  int Signal = 0;
  sigwait(&Signals, &Signal);
  deregister(*Options, Server.incarnation());
  Server.drain(std::chrono::seconds(5));
  // Idle connections keep their threads blocked, so the process exits without
  // joining them.
  std::_Exit(0);
}
