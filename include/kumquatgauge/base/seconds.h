#ifndef KUMQUATGAUGE_BASE_SECONDS_H_
#define KUMQUATGAUGE_BASE_SECONDS_H_

#include <chrono>

#include "kumquatgauge/base/time.h"

namespace kumquatgauge {

// Conversions for arithmetic with rates and averages.
inline auto ToSeconds(Duration duration) -> double {
  return std::chrono::duration<double>(duration).count();
}

inline auto FromSeconds(double seconds) -> Duration {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace kumquatgauge

#endif  // KUMQUATGAUGE_BASE_SECONDS_H_
