#ifndef KUMQUATGAUGE_BASE_TIME_H_
#define KUMQUATGAUGE_BASE_TIME_H_

#include <chrono>
#include <cstdint>
#include <functional>

namespace kumquatgauge {

using Duration = std::chrono::steady_clock::duration;
using MonotonicTime = std::chrono::steady_clock::time_point;
using WallTime = std::chrono::system_clock::time_point;

// Sources of time and randomness that are injected into classes with decision
// logic, so that tests can use a manual clock and a seeded generator.
using Clock = std::function<auto()->MonotonicTime>;
using WallClock = std::function<auto()->WallTime>;
using RandomSource = std::function<auto()->std::uint64_t>;

}  // namespace kumquatgauge

#endif  // KUMQUATGAUGE_BASE_TIME_H_
