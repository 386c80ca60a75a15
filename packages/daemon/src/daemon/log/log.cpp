#include "daemon/log/log.h"

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/make_shared.hpp>
#include <boost/smart_ptr/shared_ptr.hpp>
#include <nlohmann/json.hpp>

#include <array>
#include <atomic>
#include <chrono>
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

void ignoreDelete(std::ostream *) {}

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
  auto Backend = boost::make_shared<blog::sinks::text_ostream_backend>();
  if (File.empty()) {
    Backend->add_stream(
        boost::shared_ptr<std::ostream>(&std::cerr, ignoreDelete));
  } else {
    auto Stream = boost::make_shared<std::ofstream>(File, std::ios::app);
    if (!Stream->is_open()) {
      return false;
    }
    Backend->add_stream(Stream);
  }
  Backend->auto_flush(true);
  auto Front = boost::make_shared<Sink>(Backend);
  Front->set_formatter(blog::expressions::stream
                       << blog::expressions::smessage);
  blog::core::get()->remove_all_sinks();
  blog::core::get()->add_sink(Front);
  return true;
}

std::string logLine(std::string_view Time, LogLevel Level,
                    std::string_view Event,
                    std::initializer_list<LogField> Fields) {
  nlohmann::ordered_json Line;
  Line["time"] = Time;
  Line["level"] = LevelNames[static_cast<std::size_t>(Level)];
  Line["event"] = Event;
  for (const LogField &Field : Fields) {
    std::visit(
        [&](const auto &Value) { Line[std::string(Field.Name)] = Value; },
        Field.Value);
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
  BOOST_LOG_SEV(logger(), static_cast<int>(Level))
      << logLine(timeText(), Level, Event, Fields);
}

} // namespace magnolia::daemon
