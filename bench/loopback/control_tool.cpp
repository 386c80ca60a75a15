#include "control_tool.h"

#include "settings_files.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <stdexcept>
#include <utility>

namespace magnolia::bench {

namespace {

constexpr auto ToolLimit = std::chrono::seconds(15);
constexpr auto InForceLimit = std::chrono::seconds(20);

std::string words(const std::vector<std::string> &Words) {
  std::string Text;
  for (const auto &Word : Words) {
    Text += ' ' + Word;
  }
  return Text;
}

} // namespace

ControlTool::ControlTool(std::filesystem::path File, const Fleet &Owner)
    : Program(std::move(File)), Run(Owner) {}

ToolResult ControlTool::ask(const std::vector<std::string> &Words,
                            const std::string &NodeAddress) const {
  std::vector<std::string> Command{Program};
  Command.insert(Command.end(), Words.begin(), Words.end());
  const std::vector<std::string> Places = {
      "--store",    Run.plan().StoreAddress + ':' + std::to_string(StorePort),
      "--node",     NodeAddress + ':' + std::to_string(ControlPort),
      "--key-file", Run.folder() / "cluster.key"};
  Command.insert(Command.end(), Places.begin(), Places.end());
  return runTool(Command, Run.folder() / ("ctl-" + NodeAddress + ".out"),
                 ToolLimit);
}

std::string ControlTool::run(const std::vector<std::string> &Words) {
  auto Result = ask(Words, Run.plan().Instances.front().Address);
  if (Result.Status != 0) {
    throw std::runtime_error("magnoliactl" + words(Words) + " ended with " +
                             std::to_string(Result.Status) + ": " +
                             Result.Output);
  }
  return std::move(Result.Output);
}

std::optional<double> ControlTool::publish(int Edition) {
  const auto Folder = Run.folder() / "services";
  std::filesystem::create_directories(Folder);
  for (const auto &Service : Run.plan().Services) {
    writeFile(Folder / (Service + ".service.ini"),
              serviceFile(Service, Edition));
  }
  const auto Before = revisions(Run.plan().Instances.front().Address);
  run({"publish", Folder});
  const auto Accepted = Clock::now();
  std::set<std::string> Waiting;
  for (const auto &Each : Run.Instances) {
    Waiting.insert(Each.Plan.Address);
  }
  const auto InForce = [&](const std::string &Address) {
    const auto Now = revisions(Address);
    return std::all_of(Run.plan().Services.begin(), Run.plan().Services.end(),
                       [&](const std::string &Service) {
                         const auto Key = "services/" + Service;
                         const auto New = Now.find(Key);
                         const auto Old = Before.find(Key);
                         return New != Now.end() && (Old == Before.end() ||
                                                     New->second > Old->second);
                       });
  };
  const bool Done = Fleet::await(
      [&] {
        std::erase_if(Waiting, InForce);
        return Waiting.empty();
      },
      InForceLimit);
  if (!Done) {
    return std::nullopt;
  }
  return std::chrono::duration<double>(Clock::now() - Accepted).count();
}

std::map<std::string, std::uint64_t>
ControlTool::revisions(const std::string &NodeAddress) const {
  const auto Result = ask({"status", "--json"}, NodeAddress);
  return Result.Status == 0 ? parseRevisions(Result.Output)
                            : std::map<std::string, std::uint64_t>{};
}

std::map<std::string, std::uint64_t> parseRevisions(const std::string &Json) {
  std::map<std::string, std::uint64_t> Revisions;
  const auto Parsed = nlohmann::json::parse(Json, nullptr, false);
  if (!Parsed.is_object() || !Parsed.contains("keys")) {
    return Revisions;
  }
  for (const auto &Key : Parsed["keys"]) {
    if (Key.is_object() && Key.contains("key") && Key.contains("revision")) {
      const auto &Revision = Key["revision"];
      // 64-bit numbers are strings in the JSON mapping of protobuf.
      Revisions[Key["key"]] = Revision.is_string()
                                  ? std::stoull(Revision.get<std::string>())
                                  : Revision.get<std::uint64_t>();
    }
  }
  return Revisions;
}

} // namespace magnolia::bench
