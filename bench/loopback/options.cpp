#include "options.h"

#include <array>
#include <charconv>
#include <getopt.h>
#include <string_view>
#include <utility>

namespace magnolia::bench {

namespace {

constexpr std::array<std::pair<std::string_view, Fault>, 10> Faults = {{
    {"none", Fault::None},
    {"slow", Fault::Slow},
    {"cold", Fault::Cold},
    {"zone-out", Fault::ZoneOut},
    {"bad-version", Fault::BadVersion},
    {"late-bad", Fault::LateBad},
    {"one-route", Fault::OneRoute},
    {"store-down", Fault::StoreDown},
    {"silent", Fault::Silent},
    {"restart", Fault::Restart},
}};

bool parseFault(std::string_view Text, Fault &Value) {
  for (const auto &[Name, Known] : Faults) {
    if (Name == Text) {
      Value = Known;
      return true;
    }
  }
  return false;
}

template <typename Number>
bool parseNumber(std::string_view Text, Number Low, Number High,
                 Number &Value) {
  const auto [End, Code] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  return Code == std::errc{} && End == Text.data() + Text.size() &&
         Value >= Low && Value <= High;
}

bool setOption(int Code, std::string_view Value, Options &Parsed) {
  switch (Code) {
  case 'd':
    Parsed.Deployment = Value;
    return Value == "kyushu" || Value == "fes";
  case 'f':
    return parseFault(Value, Parsed.Injected);
  case 's':
    return parseNumber(Value, 12, 3600, Parsed.Seconds);
  case 'S':
    return parseNumber(Value, std::uint64_t{0}, std::uint64_t{1} << 40,
                       Parsed.Seed);
  case 'r':
    return parseNumber(Value, 1.0, 20'000.0, Parsed.CallsPerSecond);
  case 'u':
    return parseNumber(Value, 1, 1'000'000, Parsed.ServiceTimeUs);
  case 'D':
    Parsed.Demo = true;
    return true;
  case 'x':
    Parsed.StaticRoutes = true;
    return true;
  case 'k':
    Parsed.Keep = true;
    return true;
  case 'l':
    Parsed.RelayListen = Value;
    return true;
  case 't':
    Parsed.RelayTarget = Value;
    return true;
  default:
    return false;
  }
}

constexpr std::array<option, 12> LongOptions = {{
    {"deployment", required_argument, nullptr, 'd'},
    {"fault", required_argument, nullptr, 'f'},
    {"seconds", required_argument, nullptr, 's'},
    {"seed", required_argument, nullptr, 'S'},
    {"rate", required_argument, nullptr, 'r'},
    {"service-time-us", required_argument, nullptr, 'u'},
    {"demo", no_argument, nullptr, 'D'},
    {"static", no_argument, nullptr, 'x'},
    {"keep", no_argument, nullptr, 'k'},
    {"relay-listen", required_argument, nullptr, 'l'},
    {"relay-target", required_argument, nullptr, 't'},
    {nullptr, 0, nullptr, 0},
}};

} // namespace

int serviceTimeUs(const Options &Given) {
  constexpr int Short = 2'000;
  constexpr int Overlapping = 40'000;
  if (Given.ServiceTimeUs > 0) {
    return Given.ServiceTimeUs;
  }
  return Given.Injected == Fault::Cold || Given.Injected == Fault::Restart
             ? Overlapping
             : Short;
}

std::optional<Options> parseOptions(std::span<char *> Arguments,
                                    std::string &LastError) {
  Options Parsed;
  const int Count = static_cast<int>(Arguments.size());
  optind = 1;
  int Index = 0;
  for (;;) {
    const int Code =
        getopt_long(Count, Arguments.data(), "", LongOptions.data(), &Index);
    if (Code == -1) {
      break;
    }
    const char *Value = optarg == nullptr ? "" : optarg;
    if (Code == '?' || !setOption(Code, Value, Parsed)) {
      LastError = Code == '?' ? "unknown option or missing value"
                              : std::string("value out of range: --") +
                                    LongOptions.at(Index).name;
      return std::nullopt;
    }
  }
  if (optind != Count) {
    LastError = "there are no positional arguments";
    return std::nullopt;
  }
  Parsed.Build = std::filesystem::read_symlink("/proc/self/exe")
                     .parent_path()
                     .parent_path();
  return Parsed;
}

} // namespace magnolia::bench
