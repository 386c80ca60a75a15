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

// Sends lines of the level and above to a file, or to the standard output where
// the path is empty. False where the file cannot be opened. A reader that does
// not keep up loses lines; the process never waits for it.
[[nodiscard]] bool startLog(LogLevel Lowest, const std::string &File);

// Changes the lowest level that is logged.
void setLogLevel(LogLevel Lowest);

// Writes one JSON line with the time, the level, the event and the fields,
// within the budget of the event. A line after lines that were left out states
// their number as "dropped".
void log(LogLevel Level, std::string_view Event,
         std::initializer_list<LogField> Fields = {});

// Lines that the reader of the standard output did not take in time.
[[nodiscard]] std::uint64_t lostLogLines();

// The line itself, without a line end. Dropped is left out where it is 0.
[[nodiscard]] std::string logLine(std::string_view Time, LogLevel Level,
                                  std::string_view Event,
                                  std::initializer_list<LogField> Fields,
                                  std::uint64_t Dropped = 0);

} // namespace magnolia::daemon

#endif
