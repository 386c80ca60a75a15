#ifndef DAEMON_LOG_LOG_H
#define DAEMON_LOG_LOG_H

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace magnolia::daemon {

enum class LogLevel : std::uint8_t { Debug, Info, Warning, Error };

// Field of a log line.
struct LogField {
  std::string_view Name;
  std::variant<std::string_view, std::uint64_t, double, bool> Value;
};

// Returns the level with the name; Info for an unknown name.
[[nodiscard]] LogLevel logLevelOf(std::string_view Name);

// Writes lines of the level and above to a file, or to the standard output if
// the path is empty. Returns false if the file cannot be opened. Writing to the
// standard output never blocks: lines are dropped if the reader is too slow.
// The rate limits start anew.
[[nodiscard]] bool startLog(LogLevel Lowest, const std::string &File);

void setLogLevel(LogLevel Lowest);

// Writes one JSON line with the time, the level, the event and the fields,
// unless the rate limit of the event is exceeded. The next line of the event
// has the number of omitted lines as "dropped".
void log(LogLevel Level, std::string_view Event,
         std::initializer_list<LogField> Fields = {});

// Number of lines that were dropped because the reader of the standard output
// was too slow.
[[nodiscard]] std::uint64_t lostLogLines();

// Formats a line without the line break. Dropped is omitted if it is 0.
[[nodiscard]] std::string logLine(std::string_view Time, LogLevel Level,
                                  std::string_view Event,
                                  std::initializer_list<LogField> Fields,
                                  std::uint64_t Dropped = 0);

} // namespace magnolia::daemon

#endif
