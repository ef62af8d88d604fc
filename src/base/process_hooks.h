#ifndef BASE_PROCESS_HOOKS_H_
#define BASE_PROCESS_HOOKS_H_

#include <boost/asio/awaitable.hpp>
#include <cstdint>

#include "kumquatgauge/base/time.h"

namespace kumquatgauge::detail {

// The clocks and the random source for production use. DrawRandom uses one
// generator per thread.
auto SteadyNow() -> MonotonicTime;
// The same with the time in which the host was suspended.
auto BootNow() -> MonotonicTime;
auto WallNow() -> WallTime;
auto DrawRandom() -> std::uint64_t;

// Resident memory of this process in bytes; 0 if the kernel does not tell.
auto ResidentBytes() -> double;

// Suspends the calling coroutine for `duration` on its executor.
auto Pause(Duration duration) -> boost::asio::awaitable<void>;

}  // namespace kumquatgauge::detail

#endif  // BASE_PROCESS_HOOKS_H_
