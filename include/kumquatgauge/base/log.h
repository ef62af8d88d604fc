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
// dropped. The number of dropped lines is logged once the buffer is empty.
auto InitializeJsonLogging(LogLevel level, const std::string& node) -> void;

inline constexpr std::size_t kMaxBufferedLogBytes = std::size_t{256} * 1024;
// Limit on JSON log lines per second below level warning, which bounds the cost
// of logging on a busy node. Warnings and errors are not limited.
inline constexpr std::uint32_t kMaxInfoLinesPerSecond = 400;

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

 private:
  auto Write(LogLevel level,
             const std::string& message,
             std::initializer_list<LogField> fields) const -> void;

  std::string component_;
};

}  // namespace kumquatgauge

#endif  // KUMQUATGAUGE_BASE_LOG_H_
