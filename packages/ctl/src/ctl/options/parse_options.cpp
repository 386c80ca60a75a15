#include "ctl/options/parse_options.h"

#include "settings/record/record_key.h"

#include <getopt.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstddef>
#include <limits>
#include <string>
#include <utility>

namespace magnolia::ctl {
namespace {

using settings::HostPort;

constexpr std::size_t Unlimited = std::numeric_limits<std::size_t>::max();
constexpr int MaxTimeoutSeconds = 3600;
constexpr std::size_t MaxNodes = 64;

// Words and requirements of a command.
struct CommandRow {
  std::string_view Word;
  std::string_view SubWord;
  Command Selected;
  std::size_t MinArguments;
  std::size_t MaxArguments;
  bool NeedsStore;
  bool NeedsNode;
};

constexpr std::array<CommandRow, 11> Commands = {{
    {"validate", "", Command::Validate, 1, Unlimited, false, false},
    {"publish", "", Command::Publish, 1, Unlimited, true, false},
    {"status", "", Command::Status, 0, 0, false, true},
    {"dump", "", Command::Dump, 0, 0, false, true},
    {"zone", "out", Command::ZoneOut, 1, 1, true, false},
    {"zone", "in", Command::ZoneIn, 1, 1, true, false},
    {"move", "start", Command::MoveStart, 1, 1, true, false},
    {"move", "status", Command::MoveStatus, 1, 1, true, false},
    {"move", "take-back", Command::MoveTakeBack, 1, 1, true, false},
    {"wait", "", Command::Wait, 0, Unlimited, true, true},
    {"where", "", Command::Where, 1, 1, false, false},
}};

constexpr std::string_view Usage = R"(usage: magnoliactl COMMAND [OPTIONS]

Commands:
  validate DIR...          check every *.service.ini file in the folders
  publish DIR...           check the files, then publish them to the store
  zone out NAME            take an availability zone out of service
  zone in NAME             return an availability zone to service
  move start SERVICE       start a move; needs --from, --to and --deadline
  move status SERVICE      show the move of a service
  move take-back SERVICE   roll a move back
  status                   show members and configuration as nodes see them
  dump                     print the state of nodes as JSON
  wait [KEY...]            wait until the keys (default: all) are in force
  where PATH               explain where a node would send a request now, or
                           why it would reject it; needs --http

Options:
  --store ADDRESS:PORT     key-value store
  --node ADDRESS:PORT      control address of a node; repeatable. Changes are
                           handed to these nodes, and their members are asked
                           whether the change is in force
  --key-file FILE          cluster key; needed with --node
  --http ADDRESS:PORT      HTTP address of a node: its http_port, or [listen]
                           metrics if that is set; for where
  --host HOST, --method METHOD, --organisation NAME
                           for where; the method is GET by default, and
                           without an organisation the caller has no key
  --nested                 for where: a call that the local backend server makes
                           while it runs a request of the organisation
  --from VERSION, --to VERSION, --deadline TIME
                           for move start; TIME is 2026-12-04T18:00:00Z or +30m
  --reason TEXT            for move take-back
  --operator NAME          who makes the change (default: $USER)
  --timeout SECONDS        1 to 3600 (default: 10), once for the store and once
                           for the wait until a change is in force
  --json                   print one JSON document
  --help                   print this text

Exit codes: 0 done and in force, 1 failed, 2 wrong usage, 3 conflict: changed by
another operator or by the move's driver, 4 outcome unknown, 5 accepted but not
yet known to be in force.
)";

enum OptionId : int {
  StoreOption = 256,
  NodeOption,
  KeyFileOption,
  FromOption,
  ToOption,
  DeadlineOption,
  ReasonOption,
  OperatorOption,
  TimeoutOption,
  JsonOption,
  HelpOption,
  HttpOption,
  HostOption,
  MethodOption,
  OrganisationOption,
  NestedOption,
};

constexpr std::array<option, 17> Known = {{
    {"store", required_argument, nullptr, StoreOption},
    {"node", required_argument, nullptr, NodeOption},
    {"key-file", required_argument, nullptr, KeyFileOption},
    {"from", required_argument, nullptr, FromOption},
    {"to", required_argument, nullptr, ToOption},
    {"deadline", required_argument, nullptr, DeadlineOption},
    {"reason", required_argument, nullptr, ReasonOption},
    {"operator", required_argument, nullptr, OperatorOption},
    {"timeout", required_argument, nullptr, TimeoutOption},
    {"json", no_argument, nullptr, JsonOption},
    {"help", no_argument, nullptr, HelpOption},
    {"http", required_argument, nullptr, HttpOption},
    {"host", required_argument, nullptr, HostOption},
    {"method", required_argument, nullptr, MethodOption},
    {"organisation", required_argument, nullptr, OrganisationOption},
    {"nested", no_argument, nullptr, NestedOption},
    {nullptr, 0, nullptr, 0},
}};

std::optional<HostPort> hostPortOf(std::string_view Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos || Colon == 0) {
    return std::nullopt;
  }
  HostPort Result{std::string(Text.substr(0, Colon)), 0};
  const char *End = Text.data() + Text.size();
  const auto [Rest, Error] =
      std::from_chars(Text.data() + Colon + 1, End, Result.Port);
  if (Error != std::errc() || Rest != End || Result.Port == 0) {
    return std::nullopt;
  }
  return Result;
}

std::optional<std::chrono::milliseconds> timeoutOf(std::string_view Text) {
  int Seconds = 0;
  const char *End = Text.data() + Text.size();
  const auto [Rest, Error] = std::from_chars(Text.data(), End, Seconds);
  if (Error != std::errc() || Rest != End || Seconds < 1 ||
      Seconds > MaxTimeoutSeconds) {
    return std::nullopt;
  }
  return std::chrono::seconds(Seconds);
}

// Returns an error text, empty on success.
std::string readAddress(CtlOptions &Options, int Id, const char *Value) {
  const std::string Name = Id == StoreOption  ? "--store"
                           : Id == HttpOption ? "--http"
                                              : "--node";
  const auto Address = hostPortOf(Value);
  if (!Address) {
    return Name + " " + Value +
           ": expected ADDRESS:PORT with a port from 1 to 65535";
  }
  if (Id == StoreOption) {
    Options.Store = *Address;
  } else if (Id == HttpOption) {
    Options.Http = *Address;
  } else if (Options.Nodes.size() < MaxNodes) {
    Options.Nodes.push_back(*Address);
  } else {
    return "--node: at most 64 nodes; others are found through them";
  }
  return {};
}

std::string readOption(CtlOptions &Options, int Id, const char *Value) {
  switch (Id) {
  case StoreOption:
  case NodeOption:
  case HttpOption:
    return readAddress(Options, Id, Value);
  case KeyFileOption:
    Options.KeyFile = Value;
    return {};
  case FromOption:
    Options.From = Value;
    return {};
  case ToOption:
    Options.To = Value;
    return {};
  case DeadlineOption:
    Options.Deadline = Value;
    return {};
  case ReasonOption:
    Options.Reason = Value;
    return {};
  case OperatorOption:
    Options.Operator = Value;
    return {};
  case HostOption:
    Options.Host = Value;
    return {};
  case MethodOption:
    Options.Method = Value;
    return {};
  case OrganisationOption:
    Options.Organisation = Value;
    return {};
  case NestedOption:
    Options.Nested = true;
    return {};
  case JsonOption:
    Options.Json = true;
    return {};
  default:
    break;
  }
  const auto Timeout = timeoutOf(Value);
  Options.Timeout = Timeout.value_or(Options.Timeout);
  return Timeout ? std::string()
                 : "--timeout " + std::string(Value) +
                       ": expected 1 to 3600 seconds";
}

// Removes the words of the command from the front of the arguments. Returns
// null and sets Fault if the command is unknown or missing.
const CommandRow *selectCommand(CtlOptions &Options, std::string &Fault) {
  auto &Words = Options.Arguments;
  if (Words.empty()) {
    Fault = "no command given";
    return nullptr;
  }
  const bool HasSub = Words[0] == "zone" || Words[0] == "move";
  const std::string Sub = HasSub && Words.size() > 1 ? Words[1] : "";
  const auto *Selected = std::find_if(
      Commands.begin(), Commands.end(), [&](const CommandRow &Row) {
        return Row.Word == Words[0] && Row.SubWord == Sub;
      });
  if (Selected == Commands.end()) {
    Fault = "unknown command: " + Words[0] + (HasSub ? " " : "") + Sub;
    return nullptr;
  }
  Words.erase(Words.begin(), Words.begin() + (HasSub ? 2 : 1));
  Options.Selected = Selected->Selected;
  return Selected;
}

// The node accepts paths of at most 4096 bytes and other values of at most 256.
std::string checkWhere(const CtlOptions &Options) {
  constexpr std::size_t MaxPath = 4096;
  constexpr std::size_t MaxValue = 256;
  const std::string &Path = Options.Arguments[0];
  if (!Options.Http || Options.Host.empty()) {
    return "where needs --http and --host";
  }
  if (!Path.starts_with('/') || Path.size() > MaxPath) {
    return "where " + Path +
           ": expected a path that starts with '/' and has "
           "at most 4096 bytes";
  }
  if (Options.Host.size() > MaxValue || Options.Method.size() > MaxValue ||
      Options.Organisation.size() > MaxValue) {
    return "where: host, method and organisation have at most 256 bytes";
  }
  return {};
}

std::string checkNeeds(const CtlOptions &Options, const CommandRow &Row) {
  const std::string Name = std::string(Row.Word)
                               .append(Row.SubWord.empty() ? "" : " ")
                               .append(Row.SubWord);
  const std::size_t Count = Options.Arguments.size();
  if (Count < Row.MinArguments || Count > Row.MaxArguments) {
    return Name + ": wrong number of arguments: " + std::to_string(Count);
  }
  if (Row.NeedsStore && !Options.Store) {
    return Name + " needs --store";
  }
  if (Row.NeedsNode && Options.Nodes.empty()) {
    return Name + " needs --node";
  }
  if (Row.Selected == Command::Where) {
    return checkWhere(Options);
  }
  if (!Options.Nodes.empty() && Options.KeyFile.empty()) {
    return "--node needs --key-file";
  }
  if (Row.SubWord.empty()) {
    return {};
  }
  if (!settings::isName(Options.Arguments[0])) {
    return Name + " " + Options.Arguments[0] +
           ": expected a name of 1 to 64 letters, digits, '.', '_' and '-'";
  }
  if (Row.Selected == Command::MoveStart &&
      (Options.From.empty() || Options.To.empty() ||
       Options.Deadline.empty())) {
    return "move start needs --from, --to and --deadline";
  }
  return {};
}

} // namespace

std::string_view usage() { return Usage; }

std::optional<CtlOptions> parseOptions(std::vector<std::string> Arguments,
                                       policy::Error &LastError) {
  std::vector<char *> Pointers;
  Pointers.reserve(Arguments.size() + 1);
  for (std::string &Argument : Arguments) {
    Pointers.push_back(Argument.data());
  }
  Pointers.push_back(nullptr);
  CtlOptions Options;
  std::string Fault;
  // 0 makes getopt_long reinitialise its state.
  optind = 0;
  opterr = 0;
  const int Count = static_cast<int>(Arguments.size());
  for (int Id = 0;
       Fault.empty() && (Id = getopt_long(Count, Pointers.data(), ":",
                                          Known.data(), nullptr)) != -1;) {
    if (Id == HelpOption) {
      return CtlOptions{};
    }
    if (Id == '?' || Id == ':') {
      Fault = std::string(Pointers[static_cast<std::size_t>(optind) - 1]) +
              (Id == '?' ? ": unknown option" : ": needs a value");
    } else {
      Fault = readOption(Options, Id, optarg);
    }
  }
  for (int I = optind; I < Count; ++I) {
    Options.Arguments.emplace_back(Pointers[static_cast<std::size_t>(I)]);
  }
  if (Fault.empty()) {
    if (const CommandRow *Row = selectCommand(Options, Fault)) {
      Fault = checkNeeds(Options, *Row);
    }
  }
  if (!Fault.empty()) {
    LastError = {policy::ErrorKind::BadRequest, Fault};
    return std::nullopt;
  }
  return Options;
}

} // namespace magnolia::ctl
