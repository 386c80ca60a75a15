#include "daemon/log/log.h"

#include "daemon/log/log_rate_limit.h"
#include "daemon/net/clock.h"

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/make_shared.hpp>
#include <boost/smart_ptr/shared_ptr.hpp>
#include <nlohmann/json.hpp>

#include <poll.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <chrono>
#include <climits>
#include <ctime>
#include <fstream>
#include <iostream>

namespace magnolia::daemon {

namespace {

namespace blog = boost::log;
using Sink = blog::sinks::synchronous_sink<blog::sinks::text_ostream_backend>;
using Logger = blog::sources::severity_logger_mt<int>;

constexpr std::array<std::string_view, 4> LevelNames = {"debug", "info",
                                                        "warning", "error"};

std::atomic<LogLevel> LowestLevel = LogLevel::Info;

Logger &logger() {
  static Logger Shared;
  return Shared;
}

LogRateLimit &rateLimit() {
  static LogRateLimit Shared;
  return Shared;
}

std::mutex &rateLimitMutex() {
  static std::mutex Shared;
  return Shared;
}

std::atomic<std::uint64_t> LostLines = 0;

// Writes a line to the standard output only if that does not block. A writable
// pipe accepts PIPE_BUF bytes at once, so longer lines are truncated.
class StandardOutput : public blog::sinks::basic_formatted_sink_backend<char> {
public:
  // Name that Boost.Log requires.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static void consume(const blog::record_view &, const std::string &Line) {
    pollfd Poll{.fd = STDOUT_FILENO, .events = POLLOUT, .revents = 0};
    if (::poll(&Poll, 1, 0) <= 0 || (Poll.revents & POLLOUT) == 0) {
      ++LostLines;
      return;
    }
    std::string Truncated = Line.substr(0, PIPE_BUF - 1);
    Truncated.push_back('\n');
    if (::write(STDOUT_FILENO, Truncated.data(), Truncated.size()) < 0) {
      ++LostLines;
    }
  }
};

std::string timeText() {
  const auto Now = std::chrono::system_clock::now();
  const std::time_t Seconds = std::chrono::system_clock::to_time_t(Now);
  const auto Ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                      Now.time_since_epoch())
                      .count() %
                  1000;
  std::tm Utc{};
  gmtime_r(&Seconds, &Utc);
  std::array<char, 32> Text{};
  std::strftime(Text.data(), Text.size(), "%Y-%m-%dT%H:%M:%S", &Utc);
  std::string Fraction = std::to_string(1000 + Ms);
  return std::string(Text.data()) + "." + Fraction.substr(1) + "Z";
}

} // namespace

LogLevel logLevelOf(std::string_view Name) {
  for (std::size_t I = 0; I < LevelNames.size(); ++I) {
    if (LevelNames[I] == Name) {
      return static_cast<LogLevel>(I);
    }
  }
  return LogLevel::Info;
}

bool startLog(LogLevel Lowest, const std::string &File) {
  LowestLevel = Lowest;
  const auto Format = blog::expressions::stream << blog::expressions::smessage;
  boost::shared_ptr<blog::sinks::sink> NewSink;
  if (File.empty()) {
    auto Created =
        boost::make_shared<blog::sinks::synchronous_sink<StandardOutput>>();
    Created->set_formatter(Format);
    NewSink = Created;
  } else {
    auto Stream = boost::make_shared<std::ofstream>(File, std::ios::app);
    if (!Stream->is_open()) {
      return false;
    }
    auto Backend = boost::make_shared<blog::sinks::text_ostream_backend>();
    Backend->add_stream(Stream);
    Backend->auto_flush(true);
    auto Created = boost::make_shared<Sink>(Backend);
    Created->set_formatter(Format);
    NewSink = Created;
  }
  {
    const std::lock_guard Lock(rateLimitMutex());
    rateLimit() = {};
  }
  blog::core::get()->remove_all_sinks();
  blog::core::get()->add_sink(NewSink);
  return true;
}

void setLogLevel(LogLevel Lowest) { LowestLevel = Lowest; }

std::uint64_t lostLogLines() { return LostLines; }

std::string logLine(std::string_view Time, LogLevel Level,
                    std::string_view Event,
                    std::initializer_list<LogField> Fields,
                    std::uint64_t Dropped) {
  nlohmann::ordered_json Line;
  Line["time"] = Time;
  Line["level"] = LevelNames[static_cast<std::size_t>(Level)];
  Line["event"] = Event;
  for (const LogField &Field : Fields) {
    std::visit(
        [&](const auto &Value) { Line[std::string(Field.Name)] = Value; },
        Field.Value);
  }
  if (Dropped > 0) {
    Line["dropped"] = Dropped;
  }
  // Bytes that are not UTF-8 are replaced, so that every line is valid JSON.
  return Line.dump(-1, ' ', false,
                   nlohmann::ordered_json::error_handler_t::replace);
}

void log(LogLevel Level, std::string_view Event,
         std::initializer_list<LogField> Fields) {
  if (Level < LowestLevel) {
    return;
  }
  std::uint64_t Dropped = 0;
  {
    const std::lock_guard Lock(rateLimitMutex());
    if (!admitLine(rateLimit(), Event, now(), Dropped)) {
      return;
    }
  }
  BOOST_LOG_SEV(logger(), static_cast<int>(Level))
      << logLine(timeText(), Level, Event, Fields, Dropped);
}

} // namespace magnolia::daemon
