#ifndef DAEMON_LOG_LOG_H
#define DAEMON_LOG_LOG_H

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace magnolia::daemon {

enum class LogLevel : std::uint8_t { Debug, Info, Warning, Error };

// Named value of a log line.
struct LogField {
  std::string_view Name;
  std::variant<std::string_view, std::uint64_t, double, bool> Value;
};

// Level of that name; Info for any other text.
[[nodiscard]] LogLevel logLevelOf(std::string_view Name);

// Sends lines of the level and above to a file, or to stderr where the path is
// empty. False where the file cannot be opened.
[[nodiscard]] bool startLog(LogLevel Lowest, const std::string &File);

// Writes one JSON line with the time, the level, the event and the fields.
void log(LogLevel Level, std::string_view Event,
         std::initializer_list<LogField> Fields = {});

// The line itself, without a line end.
[[nodiscard]] std::string logLine(std::string_view Time, LogLevel Level,
                                  std::string_view Event,
                                  std::initializer_list<LogField> Fields);

} // namespace magnolia::daemon

#endif
