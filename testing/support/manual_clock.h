#ifndef TESTING_SUPPORT_MANUAL_CLOCK_H_
#define TESTING_SUPPORT_MANUAL_CLOCK_H_

#include "kumquatgauge/base/time.h"

namespace kumquatgauge::testing {

// A clock that advances only when a test calls Advance.
class ManualClock {
 public:
  auto now() const -> MonotonicTime { return now_; }
  auto Advance(Duration duration) -> void { now_ += duration; }

  // The Clock function that the classes under test take. This object must
  // outlive it.
  auto AsHook() -> Clock {
    return [this] { return now_; };
  }

 private:
  MonotonicTime now_{std::chrono::hours(1)};
};

}  // namespace kumquatgauge::testing

#endif  // TESTING_SUPPORT_MANUAL_CLOCK_H_
