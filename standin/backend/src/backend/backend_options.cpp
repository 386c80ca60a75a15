#include "backend/backend_options.h"

#include <array>
#include <charconv>
#include <getopt.h>
#include <limits>
#include <string_view>

namespace magnolia::standin {

namespace {

template <typename Number>
bool parseNumber(std::string_view Text, Number Low, Number High,
                 Number &Value) {
  const auto [End, Code] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  return Code == std::errc{} && End == Text.data() + Text.size() &&
         Value >= Low && Value <= High;
}

bool parseNode(std::string_view Text, BackendOptions &Options) {
  const auto Colon = Text.rfind(':');
  if (Colon == std::string_view::npos) {
    return false;
  }
  Options.NodeAddress = Text.substr(0, Colon);
  return parseNumber(Text.substr(Colon + 1), 1, 65535, Options.NodePort);
}

bool setOption(int Code, std::string_view Value, BackendOptions &Options) {
  constexpr int Most = 1'000'000;
  switch (Code) {
  case 'a':
    Options.Address = Value;
    return true;
  case 's':
    Options.Service = Value;
    return true;
  case 'v':
    Options.Version = Value;
    return true;
  case 'n':
    return parseNode(Value, Options);
  case 'p':
    return parseNumber(Value, 1, 65535, Options.Port);
  case 'l':
    return parseNumber(Value, 1, Most, Options.Slots);
  case 'c':
    return parseNumber(Value, 1, 900, Options.Connections);
  case 't':
    return parseNumber(Value, 0, Most, Options.ServiceTimeUs);
  case 'C':
    return parseNumber(Value, 0, Most, Options.ColdStartMs);
  case 'r':
    return parseNumber(Value, 0, Most, Options.ReportLagMs);
  case 'S':
    return parseNumber(Value, std::uint64_t{0},
                       std::numeric_limits<std::uint64_t>::max(), Options.Seed);
  default:
    return false;
  }
}

constexpr std::array<option, 12> LongOptions = {{
    {"address", required_argument, nullptr, 'a'},
    {"port", required_argument, nullptr, 'p'},
    {"service", required_argument, nullptr, 's'},
    {"version", required_argument, nullptr, 'v'},
    {"slots", required_argument, nullptr, 'l'},
    {"connections", required_argument, nullptr, 'c'},
    {"service-time-us", required_argument, nullptr, 't'},
    {"cold-start-ms", required_argument, nullptr, 'C'},
    {"report-lag-ms", required_argument, nullptr, 'r'},
    {"seed", required_argument, nullptr, 'S'},
    {"node", required_argument, nullptr, 'n'},
    {nullptr, 0, nullptr, 0},
}};

} // namespace

std::optional<BackendOptions> parseBackendOptions(std::span<char *> Arguments,
                                                  std::string &LastError) {
  BackendOptions Options;
  const int Count = static_cast<int>(Arguments.size());
  optind = 1;
  int Index = 0;
  for (;;) {
    // The command line is read once, before any thread starts.
    const int Code = getopt_long( // NOLINT(concurrency-mt-unsafe)
        Count, Arguments.data(), "", LongOptions.data(), &Index);
    if (Code == -1) {
      break;
    }
    if (Code == '?' || !setOption(Code, optarg, Options)) {
      LastError = Code == '?' ? "unknown option or missing value"
                              : std::string("value out of range: --") +
                                    LongOptions.at(Index).name;
      return std::nullopt;
    }
  }
  if (optind != Count || Options.Port == 0) {
    LastError = "--port is required and there are no positional arguments";
    return std::nullopt;
  }
  return Options;
}

} // namespace magnolia::standin
