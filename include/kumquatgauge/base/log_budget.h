#ifndef KUMQUATGAUGE_BASE_LOG_BUDGET_H_
#define KUMQUATGAUGE_BASE_LOG_BUDGET_H_

#include <cstddef>
#include <cstdint>
#include <optional>

#include "kumquatgauge/base/time.h"

namespace kumquatgauge {

// Lines of failures and refusals, which explain what a caller saw, are written
// before those of routine events.
enum class LogLineClass { kRoutine, kFailure };

struct LogBudgetLimits {
  // Of a process, within each second.
  std::uint32_t lines_per_second = 800;
  std::size_t bytes_per_second = std::size_t{400} * 1024;
  // Share of both that routine lines may use.
  std::uint32_t routine_percent = 50;
};

struct DroppedLogLines {
  std::uint64_t routine = 0;
  std::uint64_t failures = 0;

  auto operator==(const DroppedLogLines&) const -> bool = default;
};

// Decides which log lines are written, so that a busy process spends a bounded
// amount of time and bytes on logs. Not thread-safe.
class LogBudget {
 public:
  LogBudget(LogBudgetLimits limits, Clock clock);

  // Returns whether a line may be written now, and counts it if not.
  auto Take(LogLineClass line_class, std::size_t bytes) -> bool;
  // Counts a line that could not be written for another reason.
  auto AddDropped(LogLineClass line_class) -> void;
  // Returns the lines that were dropped in earlier seconds and have not been
  // returned yet, if any.
  auto TakeDropped() -> std::optional<DroppedLogLines>;

 private:
  auto BeginSecondIfOver() -> void;

  LogBudgetLimits limits_;
  Clock clock_;
  MonotonicTime second_;
  std::uint32_t lines_ = 0;
  std::uint32_t routine_lines_ = 0;
  std::size_t bytes_ = 0;
  std::size_t routine_bytes_ = 0;
  DroppedLogLines dropped_;          // In this second.
  DroppedLogLines dropped_earlier_;  // In earlier seconds.
};

}  // namespace kumquatgauge

#endif  // KUMQUATGAUGE_BASE_LOG_BUDGET_H_
