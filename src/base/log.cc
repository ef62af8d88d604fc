#include "kumquatgauge/base/log.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <log4cplus/spi/loggingevent.h>

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <climits>
#include <memory>
#include <utility>

#include "kumquatgauge/base/error.h"
#include "kumquatgauge/base/log_budget.h"

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

// Writes lines to a file descriptor without blocking. Lines that cannot be
// written yet are buffered; lines that exceed the buffer or the budget are
// dropped and counted. log4cplus calls append() from one thread at a time.
class NonBlockingAppender : public log4cplus::Appender {
 public:
  explicit NonBlockingAppender(int descriptor) : descriptor_(descriptor) {}
  ~NonBlockingAppender() override { destructorImpl(); }

  auto close() -> void override { closed = true; }

 protected:
  auto append(const log4cplus::spi::InternalLoggingEvent& event)
      -> void override {
    if (buffer_.empty()) {
      if (const auto dropped = budget_.TakeDropped()) {
        buffer_ = R"({"event":"log_dropped","lines":)" +
                  std::to_string(dropped->routine + dropped->failures) +
                  R"(,"failures":)" + std::to_string(dropped->failures) + "}\n";
      }
    }
    const auto& line = event.getMessage();
    const auto failure = event.getLogLevel() >= log4cplus::WARN_LOG_LEVEL;
    const auto line_class =
        failure ? LogLineClass::kFailure : LogLineClass::kRoutine;
    const auto limit =
        failure ? kMaxBufferedLogBytes : kMaxBufferedRoutineLogBytes;
    const auto size = line.size() + 1;
    if (buffer_.size() + size > limit) {
      budget_.AddDropped(line_class);
    } else if (budget_.Take(line_class, size)) {
      buffer_.append(line).push_back('\n');
    }
    Flush();
  }

 private:
  // A pipe that poll() reports as writable accepts PIPE_BUF bytes without
  // blocking.
  auto Flush() -> void {
    while (!buffer_.empty()) {
      auto entry = pollfd{descriptor_, POLLOUT, 0};
      if (::poll(&entry, 1, 0) <= 0 || (entry.revents & POLLOUT) == 0) {
        return;
      }
      const auto size = std::min<std::size_t>(buffer_.size(), PIPE_BUF);
      const auto written = ::write(descriptor_, buffer_.data(), size);
      if (written <= 0) {
        return;
      }
      buffer_.erase(0, static_cast<std::size_t>(written));
    }
  }

  int descriptor_;
  std::string buffer_;
  LogBudget budget_{LogBudgetLimits(), &std::chrono::steady_clock::now};
};

// State of JSON logging; unused for plain text.
struct JsonFormat {
  bool enabled = false;
  std::string node;
};

auto Format() -> JsonFormat& {
  static auto format = JsonFormat();
  return format;
}

auto AppendJsonString(std::string& line, std::string_view text) -> void {
  constexpr unsigned char kFirstPrintable = 0x20;
  line.push_back('"');
  for (const auto character : text) {
    if (character == '"' || character == '\\') {
      line.push_back('\\');
      line.push_back(character);
    } else if (static_cast<unsigned char>(character) < kFirstPrintable) {
      line.push_back(' ');
    } else {
      line.push_back(character);
    }
  }
  line.push_back('"');
}

auto AppendJsonField(std::string& line,
                     std::string_view name,
                     std::string_view value) -> void {
  line.push_back(',');
  AppendJsonString(line, name);
  line.push_back(':');
  AppendJsonString(line, value);
}

auto LevelName(LogLevel level) -> std::string_view {
  switch (level) {
    case LogLevel::kDebug:
      return "debug";
    case LogLevel::kInfo:
      return "info";
    case LogLevel::kWarning:
      return "warning";
    case LogLevel::kError:
      break;
  }
  return "error";
}

auto JsonLine(LogLevel level,
              const std::string& component,
              const std::string& message,
              std::initializer_list<LogField> fields) -> std::string {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  auto line =
      "{\"time_ms\":" +
      std::to_string(
          std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
  AppendJsonField(line, "level", LevelName(level));
  AppendJsonField(line, "node", Format().node);
  AppendJsonField(line, "part", component);
  AppendJsonField(line, "message", message);
  for (const auto& field : fields) {
    AppendJsonField(line, field.name, field.value);
  }
  line.push_back('}');
  return line;
}

auto RootLogger() -> log4cplus::Logger& {
  static auto initializer = log4cplus::Initializer();
  static auto logger = log4cplus::Logger::getInstance("kumquatgauge");
  return logger;
}

// Quotes values that are empty or contain spaces, quotes or '=', so that lines
// can be parsed.
auto AppendField(std::string& line, const LogField& field) -> void {
  line.append(" ").append(field.name).append("=");
  if (field.value.find_first_of(" \"=\n") == std::string::npos &&
      !field.value.empty()) {
    line.append(field.value);
    return;
  }
  line.push_back('"');
  for (const auto character : field.value) {
    if (character == '"' || character == '\\') {
      line.push_back('\\');
    }
    line.push_back(character == '\n' ? ' ' : character);
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

auto InitializeJsonLogging(LogLevel level, const std::string& node) -> void {
  auto& logger = RootLogger();
  logger.removeAllAppenders();
  logger.addAppender(
      log4cplus::SharedAppenderPtr(new NonBlockingAppender(STDOUT_FILENO)));
  logger.setAdditivity(false);
  Format().enabled = true;
  Format().node = node;
  SetLogLevel(level);
}

auto SetLogLevel(LogLevel level) -> void {
  RootLogger().setLogLevel(NativeLevel(level));
}

Logger::Logger(std::string component) : component_(std::move(component)) {}

auto Logger::Debug(const std::string& message,
                   std::initializer_list<LogField> fields) const -> void {
  Write(LogLevel::kDebug, message, fields);
}

auto Logger::Info(const std::string& message,
                  std::initializer_list<LogField> fields) const -> void {
  Write(LogLevel::kInfo, message, fields);
}

auto Logger::Warning(const std::string& message,
                     std::initializer_list<LogField> fields) const -> void {
  Write(LogLevel::kWarning, message, fields);
}

auto Logger::Error(const std::string& message,
                   std::initializer_list<LogField> fields) const -> void {
  Write(LogLevel::kError, message, fields);
}

auto Logger::Write(LogLevel level,
                   const std::string& message,
                   std::initializer_list<LogField> fields) const -> void {
  auto& logger = RootLogger();
  if (!logger.isEnabledFor(NativeLevel(level)) ||
      logger.getAllAppenders().empty()) {
    return;
  }
  if (Format().enabled) {
    logger.log(NativeLevel(level),
               JsonLine(level, component_, message, fields));
    return;
  }
  auto line = component_ + ": " + message;
  for (const auto& field : fields) {
    AppendField(line, field);
  }
  logger.log(NativeLevel(level), line);
}

}  // namespace kumquatgauge
