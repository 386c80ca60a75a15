#include "ctl/command/run_command.h"
#include "ctl/options/parse_options.h"
#include "store/client/http_store.h"
#include "wire/seal/cluster_key.h"
#include "wire/seal/seal.h"

#include <cstdlib>
#include <iostream>
#include <string>
#include <thread>

namespace {

using namespace magnolia;

constexpr std::size_t OperationIdBytes = 16;

std::string newOperationId() {
  constexpr std::string_view Digits = "0123456789abcdef";
  std::string Id;
  for (const char Byte : wire::randomBytes(OperationIdBytes)) {
    const auto Value = static_cast<unsigned char>(Byte);
    Id.push_back(Digits[Value >> 4]);
    Id.push_back(Digits[Value & 0xF]);
  }
  return Id;
}

policy::TimePoint wallClock() {
  return policy::TimePoint(std::chrono::duration_cast<policy::Duration>(
      std::chrono::system_clock::now().time_since_epoch()));
}

int usageError(const policy::Error &Error) {
  std::cerr << "magnoliactl: " << Error.Detail
            << "\nrun magnoliactl --help for the commands and options\n";
  return static_cast<int>(ctl::ExitCode::Usage);
}

} // namespace

int main(int Count, char **Arguments) {
  policy::Error Error;
  auto Options = ctl::parseOptions({Arguments, Arguments + Count}, Error);
  if (!Options) {
    return usageError(Error);
  }
  if (Options->Selected == ctl::Command::Help) {
    std::cout << ctl::usage();
    return static_cast<int>(ctl::ExitCode::Done);
  }
  if (Options->Operator.empty()) {
    const char *User = std::getenv("USER");
    Options->Operator = User != nullptr ? User : "unknown";
  }
  ctl::Output Out(std::cout, Options->Json);
  ctl::Context Run{.Options = *Options,
                   .Store = {},
                   .CallNode = {},
                   .Now = wallClock,
                   .Pause =
                       [](std::chrono::milliseconds Time) {
                         std::this_thread::sleep_for(Time);
                       },
                   .NewOperationId = newOperationId,
                   .Out = Out,
                   .Fetch = ctl::httpNodeFetcher()};
  if (!Options->Nodes.empty()) {
    const auto Key = wire::readClusterKey(Options->KeyFile, Error);
    if (!Key) {
      return usageError(Error);
    }
    Run.CallNode = ctl::tcpNodeCaller(Key->Bytes);
  }
  if (Options->Store) {
    Run.Store = store::httpStore(
        {.Address = Options->Store->Address, .Port = Options->Store->Port});
  }
  return static_cast<int>(ctl::runCommand(Run));
}
