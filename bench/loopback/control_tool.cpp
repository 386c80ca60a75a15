#include "control_tool.h"

#include "settings_files.h"

#include <algorithm>
#include <iostream>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

namespace magnolia::bench {

namespace {

constexpr auto ToolLimit = std::chrono::seconds(25);
constexpr double InEffectLimitS = 20;
// Exit status of magnoliactl if a change was accepted but is not yet confirmed
// to be in effect on every node.
constexpr int NotInEffect = 5;

std::string joined(const std::vector<std::string> &Words) {
  std::string Text;
  for (const auto &Word : Words) {
    Text.append(" ").append(Word);
  }
  return Text;
}

} // namespace

ControlTool::ControlTool(std::filesystem::path File, const Fleet &Owner)
    : Program(std::move(File)), Run(Owner) {}

ToolResult ControlTool::call(const std::vector<std::string> &Words,
                             bool AllNodes) const {
  std::vector<std::string> Command{Program};
  Command.insert(Command.end(), Words.begin(), Words.end());
  Command.insert(Command.end(),
                 {"--store",
                  Run.plan().StoreAddress + ':' + std::to_string(StorePort),
                  "--key-file", Run.folder() / "cluster.key"});
  for (const auto &Each : Run.Instances) {
    if (Each.Stopped) {
      continue;
    }
    Command.insert(Command.end(), {"--node", Each.Plan.Address + ':' +
                                                 std::to_string(ControlPort)});
    if (!AllNodes) {
      break;
    }
  }
  return runTool(Command, Run.folder() / "magnoliactl.out", ToolLimit);
}

void ControlTool::change(const std::vector<std::string> &Words) {
  const auto Result = call(Words, false);
  if (Result.Status == NotInEffect) {
    std::cerr << "magnoliactl" << joined(Words) << ": " << Result.Output;
  } else if (Result.Status != 0) {
    throw std::runtime_error("magnoliactl" + joined(Words) + " ended with " +
                             std::to_string(Result.Status) + ": " +
                             Result.Output);
  }
}

std::optional<double> ControlTool::publish(int Edition) {
  const auto Folder = Run.folder() / "services";
  std::filesystem::create_directories(Folder);
  for (const auto &Service : Run.plan().Services) {
    writeFile(Folder / (Service + ".service.ini"),
              serviceFile(Service, Edition));
  }
  const auto Before = revisions();
  const auto Start = Clock::now();
  change({"publish", Folder});
  const auto Passed = [Start] {
    return std::chrono::duration<double>(Clock::now() - Start).count();
  };
  while (!inEffect(Before, revisions(), Run.plan().Services)) {
    if (Passed() > InEffectLimitS) {
      return std::nullopt;
    }
  }
  return Passed();
}

std::string ControlTool::rolloutPhase(const std::string &Service) const {
  const auto Result = call({"move", "status", Service, "--json"}, false);
  const auto Parsed = nlohmann::json::parse(Result.Output, nullptr, false);
  if (Result.Status != 0 || !Parsed.is_object()) {
    return {};
  }
  const auto Phase = nlohmann::json::json_pointer("/move/phase");
  return Parsed.contains(Phase) ? Parsed[Phase].get<std::string>() : "";
}

NodeRevisions ControlTool::revisions() const {
  const auto Result = call({"status", "--json"}, true);
  return Result.Status == 0 ? parseRevisions(Result.Output) : NodeRevisions{};
}

NodeRevisions parseRevisions(const std::string &Json) {
  NodeRevisions Revisions;
  const auto Parsed = nlohmann::json::parse(Json, nullptr, false);
  if (!Parsed.is_object() || !Parsed.contains("nodes")) {
    return Revisions;
  }
  for (const auto &[Node, Status] : Parsed["nodes"].items()) {
    auto &Keys = Revisions[Node];
    if (Status.contains("keys")) {
      Keys = Status["keys"].get<std::map<std::string, std::uint64_t>>();
    }
  }
  return Revisions;
}

bool inEffect(const NodeRevisions &Before, const NodeRevisions &Now,
              const std::vector<std::string> &Services) {
  const auto RevisionOf = [](const NodeRevisions &Of, const std::string &Node,
                             const std::string &Key) -> std::uint64_t {
    const auto Keys = Of.find(Node);
    if (Keys == Of.end() || !Keys->second.contains(Key)) {
      return 0;
    }
    return Keys->second.at(Key);
  };
  return !Now.empty() &&
         std::all_of(Now.begin(), Now.end(), [&](const auto &Node) {
           return std::all_of(Services.begin(), Services.end(),
                              [&](const auto &Service) {
                                const auto Key = "services/" + Service;
                                return RevisionOf(Now, Node.first, Key) >
                                       RevisionOf(Before, Node.first, Key);
                              });
         });
}

} // namespace magnolia::bench
