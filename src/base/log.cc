#include "kumquatgauge/base/log.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <memory>
#include <utility>

#include "kumquatgauge/base/error.h"

namespace kumquatgauge {
namespace {

auto NativeLevel(LogLevel level) -> log4cplus::LogLevel {
  switch (level) {
    case LogLevel::kDebug:
      return log4cplus::DEBUG_LOG_LEVEL;
    case LogLevel::kInfo:
      return log4cplus::INFO_LOG_LEVEL;
    case LogLevel::kWarning:
      return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::kError:
      break;
  }
  return log4cplus::ERROR_LOG_LEVEL;
}

auto RootLogger() -> log4cplus::Logger& {
  static auto initializer = log4cplus::Initializer();
  static auto logger = log4cplus::Logger::getInstance("kumquatgauge");
  return logger;
}

// A value with spaces or quotes is quoted, so that lines can be split again.
auto AppendField(std::string& line, const LogField& field) -> void {
  line.append(" ").append(field.name).append("=");
  if (field.value.find_first_of(" \"=\n") == std::string::npos &&
      !field.value.empty()) {
    line.append(field.value);
    return;
  }
  line.push_back('"');
  for (const auto letter : field.value) {
    if (letter == '"' || letter == '\\') {
      line.push_back('\\');
    }
    line.push_back(letter == '\n' ? ' ' : letter);
  }
  line.push_back('"');
}

}  // namespace

auto ParseLogLevel(std::string_view name) -> LogLevel {
  if (name == "debug") {
    return LogLevel::kDebug;
  }
  if (name == "info") {
    return LogLevel::kInfo;
  }
  if (name == "warning") {
    return LogLevel::kWarning;
  }
  if (name == "error") {
    return LogLevel::kError;
  }
  throw Error(ErrorKind::kInvalidArgument, "unknown log level",
              std::string(name), "use debug, info, warning or error");
}

auto InitializeLogging(LogLevel level, const std::string& file) -> void {
  auto& logger = RootLogger();
  auto appender = log4cplus::SharedAppenderPtr();
  if (file.empty()) {
    appender = new log4cplus::ConsoleAppender(/*logToStdErr=*/true,
                                              /*immediateFlush=*/true);
  } else {
    appender = new log4cplus::FileAppender(file, std::ios_base::app);
  }
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>(
      "%D{%Y-%m-%dT%H:%M:%S.%q} %-5p %m%n"));
  logger.removeAllAppenders();
  logger.addAppender(appender);
  logger.setAdditivity(false);
  SetLogLevel(level);
}

auto SetLogLevel(LogLevel level) -> void {
  RootLogger().setLogLevel(NativeLevel(level));
}

Logger::Logger(std::string part) : part_(std::move(part)) {}

auto Logger::Debug(const std::string& sentence,
                   std::initializer_list<LogField> fields) const -> void {
  Write(LogLevel::kDebug, sentence, fields);
}

auto Logger::Info(const std::string& sentence,
                  std::initializer_list<LogField> fields) const -> void {
  Write(LogLevel::kInfo, sentence, fields);
}

auto Logger::Warning(const std::string& sentence,
                     std::initializer_list<LogField> fields) const -> void {
  Write(LogLevel::kWarning, sentence, fields);
}

auto Logger::Error(const std::string& sentence,
                   std::initializer_list<LogField> fields) const -> void {
  Write(LogLevel::kError, sentence, fields);
}

auto Logger::Write(LogLevel level,
                   const std::string& sentence,
                   std::initializer_list<LogField> fields) const -> void {
  auto& logger = RootLogger();
  if (!logger.isEnabledFor(NativeLevel(level)) ||
      logger.getAllAppenders().empty()) {
    return;
  }
  auto line = part_ + ": " + sentence;
  for (const auto& field : fields) {
    AppendField(line, field);
  }
  logger.log(NativeLevel(level), line);
}

}  // namespace kumquatgauge
