#include "settings/node/read_settings.h"

#include "settings/node/internal/parse_value.h"
#include "settings/node/setting_entry.h"

#include <ini.h>

#include <algorithm>
#include <fstream>
#include <set>
#include <sstream>

namespace magnolia::settings {

namespace {

constexpr std::size_t StaticMaximum = 1024;
constexpr std::size_t InterfaceKeysMaximum = 256;
constexpr std::string_view StaticPrefix = "service.";
constexpr std::string_view StaticRange = "name,address,peer_port,zone,version";

struct ParseState {
  NodeSettings Result;
  std::set<std::pair<std::string, std::string>> Seen;
  std::string Fault;
};

std::string place(std::string_view Section, std::string_view Key) {
  return "section [" + std::string(Section) + "], key " + std::string(Key);
}

const SettingEntry *findEntry(std::string_view Section, std::string_view Key) {
  const auto Table = settingTable();
  const auto Found =
      std::find_if(Table.begin(), Table.end(), [&](const SettingEntry &Entry) {
        return Entry.Section == Section && Entry.Key == Key;
      });
  return Found == Table.end() ? nullptr : &*Found;
}

std::string unknownKey(std::string_view Section, std::string_view Key) {
  std::string Known;
  for (const SettingEntry &Entry : settingTable()) {
    if (Entry.Section == Section) {
      Known += (Known.empty() ? "" : ", ") + std::string(Entry.Key);
    }
  }
  if (Known.empty()) {
    return place(Section, Key) +
           ": no such section; accepted: node, listen, local, backend, store, "
           "contacts, static, limits, hedge, log, interface";
  }
  return place(Section, Key) + ": no such key; accepted: " + Known;
}

bool readStatic(ParseState &State, std::string_view Key,
                std::string_view Text) {
  const auto Endpoint = internal::parseStaticEndpoint(Text);
  if (!Key.starts_with(StaticPrefix) || !Endpoint) {
    State.Fault = place("static", Key) + ": not accepted; accepted: service.N" +
                  " = " + std::string(StaticRange);
    return false;
  }
  if (State.Result.Static.size() == StaticMaximum) {
    State.Fault = place("static", Key) + ": more than " +
                  std::to_string(StaticMaximum) + " entries";
    return false;
  }
  State.Result.Static.push_back(*Endpoint);
  return true;
}

bool readInterfaceKey(ParseState &State, std::string_view Key,
                      std::string_view Text) {
  if (State.Result.InterfaceKeys.size() == InterfaceKeysMaximum) {
    State.Fault = place("interface", Key) + ": more than " +
                  std::to_string(InterfaceKeysMaximum) + " keys";
    return false;
  }
  State.Result.InterfaceKeys.emplace(Key, Text);
  return true;
}

bool readKey(ParseState &State, std::string_view Section, std::string_view Key,
             std::string_view Text) {
  if (!State.Seen.emplace(Section, Key).second) {
    State.Fault = place(Section, Key) + ": given more than once";
    return false;
  }
  if (Section == "static") {
    return readStatic(State, Key, Text);
  }
  if (Section == "interface") {
    return readInterfaceKey(State, Key, Text);
  }
  const SettingEntry *Entry = findEntry(Section, Key);
  if (!Entry) {
    State.Fault = unknownKey(Section, Key);
    return false;
  }
  std::optional<SettingValue> Value = internal::parseValue(*Entry, Text);
  if (!Value) {
    State.Fault = place(Section, Key) + ": \"" + std::string(Text) +
                  "\" is not accepted; accepted: " + rangeText(*Entry);
    return false;
  }
  Entry->Store(State.Result, std::move(*Value));
  return true;
}

bool hasSection(const ParseState &State, std::string_view Section) {
  return std::any_of(
      State.Seen.begin(), State.Seen.end(),
      [Section](const auto &Seen) { return Seen.first == Section; });
}

// Merges the keys of the store's address and checks rules that involve several
// keys.
bool mergeAndCheck(ParseState &State) {
  NodeSettings &Result = State.Result;
  if (Result.StoreEndpoint.Port != 0) {
    Result.Store = Result.StoreEndpoint;
  }
  if (Result.ShutdownDrain > Result.ShutdownAnnounce) {
    State.Fault = place("limits", "shutdown_drain_ms") +
                  ": over shutdown_announce_ms; accepted: up to " +
                  std::to_string(Result.ShutdownAnnounce.count()) + " ms";
    return false;
  }
  if (Result.HedgePercent > 0 &&
      Result.HedgeMinDelay > Result.DeadlineMaximum) {
    State.Fault = place("hedge", "min_delay_ms") +
                  ": over the longest timeout of a request; accepted: up to " +
                  std::to_string(Result.DeadlineMaximum.count()) +
                  " ms (deadline_maximum_ms)";
    return false;
  }
  if (Result.HttpPort == 0 && Result.Callers.Port == 0) {
    State.Fault = place("node", "http_port") +
                  ": missing; accepted: 1 to 65535, or an address in [listen] "
                  "callers";
    return false;
  }
  if (Result.ClusterKeyFile.empty() && Result.Store.Port == 0) {
    State.Fault = place("node", "cluster_key_file") +
                  ": missing; accepted: a file, or a store that keeps the key";
    return false;
  }
  return true;
}

// A required key of the optional section [backend] may be missing only if the
// whole section is.
bool fillDefaults(ParseState &State) {
  for (const SettingEntry &Entry : settingTable()) {
    if (State.Seen.contains(
            {std::string(Entry.Section), std::string(Entry.Key)})) {
      continue;
    }
    if (Entry.Required) {
      if (Entry.Section == "backend" && !hasSection(State, "backend")) {
        continue;
      }
      State.Fault = place(Entry.Section, Entry.Key) +
                    ": missing; accepted: " + rangeText(Entry);
      return false;
    }
    std::optional<SettingValue> Value =
        internal::parseValue(Entry, Entry.Default);
    if (Value) {
      Entry.Store(State.Result, std::move(*Value));
    }
  }
  State.Result.HasBackend = hasSection(State, "backend");
  return mergeAndCheck(State);
}

int onKey(void *User, const char *Section, const char *Key, const char *Text) {
  return readKey(*static_cast<ParseState *>(User), Section, Key,
                 Text ? Text : "")
             ? 1
             : 0;
}

} // namespace

std::optional<NodeSettings> parseSettings(std::string_view Text,
                                          const std::string &Path,
                                          policy::Error &LastError) {
  ParseState State;
  const int Line = ini_parse_string(std::string(Text).c_str(), onKey, &State);
  if (Line != 0 && State.Fault.empty()) {
    State.Fault = "expected [section] or key = value";
  }
  if (Line != 0) {
    State.Fault = "line " + std::to_string(Line) + ": " + State.Fault;
  }
  if (Line != 0 || !fillDefaults(State)) {
    LastError = {policy::ErrorKind::BadRequest, Path + ": " + State.Fault};
    return std::nullopt;
  }
  return std::move(State.Result);
}

std::optional<std::string> readSettingsText(const std::string &Path,
                                            policy::Error &LastError) {
  std::ifstream File(Path, std::ios::binary);
  std::string Text(SettingsFileMaximumBytes + 1, '\0');
  if (File) {
    File.read(Text.data(), static_cast<std::streamsize>(Text.size()));
    Text.resize(static_cast<std::size_t>(File.gcount()));
  }
  if (!File.is_open() || File.bad() || Text.size() > SettingsFileMaximumBytes) {
    LastError = {policy::ErrorKind::BadRequest,
                 Path + ": cannot be read or is over " +
                     std::to_string(SettingsFileMaximumBytes) + " bytes"};
    return std::nullopt;
  }
  return Text;
}

std::optional<NodeSettings> readSettings(const std::string &Path,
                                         policy::Error &LastError) {
  const auto Text = readSettingsText(Path, LastError);
  return Text ? parseSettings(*Text, Path, LastError) : std::nullopt;
}

std::string settingsPage() {
  std::ostringstream Page;
  Page << "# Settings of magnoliad\n\n"
          "Generated by `magnoliad --print-settings`. Check a file with "
          "`magnoliad --config FILE --check`. A running node reads the file "
          "again on SIGHUP and within 2 s of a change; it applies the keys "
          "marked \"Reloaded\" and logs the others, which need a restart. An "
          "invalid file changes nothing.\n";
  std::string_view Section;
  for (const SettingEntry &Entry : settingTable()) {
    if (Entry.Section != Section) {
      Section = Entry.Section;
      Page << "\n## [" << Section << "]\n\n"
           << (Section == "backend"
                   ? "Optional: a node without it is only an entry node until "
                     "a backend server announces itself.\n\n"
                   : "")
           << "| key | accepted | default | meaning |\n"
              "| --- | --- | --- | --- |\n";
    }
    Page << "| " << Entry.Key << " | " << rangeText(Entry) << " | "
         << (Entry.Required          ? std::string("required")
             : Entry.Default.empty() ? std::string("empty")
                                     : std::string(Entry.Default))
         << " | " << Entry.Meaning << (Entry.Live ? " Reloaded." : "")
         << " |\n";
  }
  Page << "\n## [static]\n\n"
          "Optional: backend servers for a start without a control plane. The "
          "first view from the control plane replaces them.\n\n"
          "| key | accepted | default | meaning |\n"
          "| --- | --- | --- | --- |\n"
          "| service.N | "
       << StaticRange
       << " | empty | One backend server; N is any text. At most "
       << StaticMaximum << " entries. |\n";
  Page
      << "\n## [interface]\n\n"
         "Optional: limits of the deployment under the names of the selected "
         "interface. The platform interface reads memory_mb, the memory of the "
         "process, of which a quarter replaces body_memory_bytes, and grace_s, "
         "the seconds from the signal to stop until the process is killed; "
         "they replace shutdown_announce_ms and shutdown_timeout_ms as the "
         "time in which requests must end. link_mbps, the capacity of the "
         "instance's link in megabits per second, replaces "
         "link_bytes_per_second. It also reads report_window_s, usage_delay_s "
         "and lease_s, which replace the times of [usage]. Other keys are "
         "ignored. At most "
      << InterfaceKeysMaximum << " keys.\n";
  return Page.str();
}

} // namespace magnolia::settings
