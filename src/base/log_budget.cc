#include "kumquatgauge/base/log_budget.h"

#include <chrono>
#include <utility>

namespace kumquatgauge {

LogBudget::LogBudget(LogBudgetLimits limits, Clock clock)
    : limits_(limits), clock_(std::move(clock)), second_(clock_()) {}

auto LogBudget::Take(LogLineClass line_class, std::size_t bytes) -> bool {
  constexpr std::uint32_t kPercent = 100;
  BeginSecondIfOver();
  const auto routine = line_class == LogLineClass::kRoutine;
  const auto fits = lines_ < limits_.lines_per_second &&
                    bytes_ + bytes <= limits_.bytes_per_second;
  const auto fits_share =
      !routine || (routine_lines_ * kPercent <
                       limits_.lines_per_second * limits_.routine_percent &&
                   (routine_bytes_ + bytes) * kPercent <=
                       limits_.bytes_per_second * limits_.routine_percent);
  if (!fits || !fits_share) {
    AddDropped(line_class);
    return false;
  }
  ++lines_;
  bytes_ += bytes;
  if (routine) {
    ++routine_lines_;
    routine_bytes_ += bytes;
  }
  return true;
}

auto LogBudget::AddDropped(LogLineClass line_class) -> void {
  BeginSecondIfOver();
  ++(line_class == LogLineClass::kRoutine ? dropped_.routine
                                          : dropped_.failures);
}

auto LogBudget::TakeDropped() -> std::optional<DroppedLogLines> {
  BeginSecondIfOver();
  if (dropped_earlier_ == DroppedLogLines()) {
    return std::nullopt;
  }
  return std::exchange(dropped_earlier_, {});
}

auto LogBudget::BeginSecondIfOver() -> void {
  const auto now = clock_();
  if (now - second_ < std::chrono::seconds(1)) {
    return;
  }
  second_ = now;
  lines_ = 0;
  routine_lines_ = 0;
  bytes_ = 0;
  routine_bytes_ = 0;
  dropped_earlier_.routine += dropped_.routine;
  dropped_earlier_.failures += dropped_.failures;
  dropped_ = {};
}

}  // namespace kumquatgauge
