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

// Logs to `file`, or to standard error when it is empty. Call once, before the
// first line.
auto InitializeLogging(LogLevel level, const std::string& file) -> void;

// Logs one JSON object a line to standard output: time, level, node, part,
// message, and the fields. Writing never blocks: what a stalled reader does not
// take waits in memory up to kMaxBufferedLogBytes and is then dropped; the
// number of dropped lines is logged once writing works again.
auto InitializeJsonLogging(LogLevel level, const std::string& node) -> void;

inline constexpr std::size_t kMaxBufferedLogBytes = std::size_t{256} * 1024;
// Lines per second of levels below warning; bounds what a busy node spends on
// logs. Failures are never held back by it.
inline constexpr std::uint32_t kMaxInfoLinesPerSecond = 400;

// Changes the level while the program runs.
auto SetLogLevel(LogLevel level) -> void;

struct LogField {
  std::string_view name;
  std::string value;
};

// Writes lines "<part>: <sentence> name=value ..." for one part of the program.
// Thread-safe.
class Logger {
 public:
  // `part` is the fixed prefix, such as "dispatch".
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
