#ifndef KUMQUATGAUGE_BASE_LOG_H_
#define KUMQUATGAUGE_BASE_LOG_H_

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace kumquatgauge {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

// Throws Error(kInvalidArgument) unless name is debug, info, warning or error.
auto ParseLogLevel(std::string_view name) -> LogLevel;

// Logs plain text to `file`, or to standard error if it is empty. Call once,
// before the first line is logged.
auto InitializeLogging(LogLevel level, const std::string& file) -> void;

// Logs one JSON object per line to standard output, with time, level, node,
// part (the component), message and the fields. Writing never blocks: if the
// reader stalls, lines are buffered up to kMaxBufferedLogBytes and then
// dropped. LogBudget limits the lines and bytes per second; warnings and errors
// are its failures. The numbers of dropped lines are logged in a line with
// event log_dropped once the buffer is empty.
auto InitializeJsonLogging(LogLevel level, const std::string& node) -> void;

inline constexpr std::size_t kMaxBufferedLogBytes = std::size_t{256} * 1024;
// Part of the buffer that lines below level warning may use.
inline constexpr std::size_t kMaxBufferedRoutineLogBytes =
    kMaxBufferedLogBytes / 2;

// Changes the level while the program runs.
auto SetLogLevel(LogLevel level) -> void;

struct LogField {
  std::string_view name;
  std::string value;
};

// Writes lines "<component>: <message> name=value ..." for one component of the
// program. Thread-safe.
class Logger {
 public:
  // `component` is the fixed prefix, such as "dispatch".
  explicit Logger(std::string component);

  auto Debug(const std::string& message,
             std::initializer_list<LogField> fields = {}) const -> void;
  auto Info(const std::string& message,
            std::initializer_list<LogField> fields = {}) const -> void;
  auto Warning(const std::string& message,
               std::initializer_list<LogField> fields = {}) const -> void;
  auto Error(const std::string& message,
             std::initializer_list<LogField> fields = {}) const -> void;
  // For a level that depends on the outcome that is logged.
  auto Write(LogLevel level,
             const std::string& message,
             std::initializer_list<LogField> fields) const -> void;

 private:
  std::string component_;
};

}  // namespace kumquatgauge

#endif  // KUMQUATGAUGE_BASE_LOG_H_
