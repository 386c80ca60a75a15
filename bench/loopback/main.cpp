#include "demo.h"
#include "interrupt.h"
#include "options.h"
#include "relay.h"
#include "run.h"

#include <cstdlib>
#include <exception>
#include <iostream>
#include <span>
#include <string>

namespace {

magnolia::bench::Endpoint endpoint(const std::string &Text) {
  const auto Colon = Text.rfind(':');
  return {.Address = Text.substr(0, Colon),
          .Port = std::atoi(Text.c_str() + Colon + 1)};
}

} // namespace

int main(int Count, char **Arguments) {
  using namespace magnolia::bench;
  std::string LastError;
  const auto Given = parseOptions(
      std::span(Arguments, static_cast<std::size_t>(Count)), LastError);
  if (!Given) {
    std::cerr << "loopback: " << LastError << '\n';
    return 2;
  }
  if (!Given->RelayListen.empty()) {
    return relay(endpoint(Given->RelayListen), endpoint(Given->RelayTarget));
  }
  takeInterrupts();
  try {
    const bool Held = Given->Demo ? runDemo(*Given) : runLoopback(*Given);
    return Held ? EXIT_SUCCESS : EXIT_FAILURE;
  } catch (const std::exception &Error) {
    std::cerr << "loopback: " << Error.what() << '\n';
    return 3;
  }
}
