#ifndef BASE_PROCESS_HOOKS_H_
#define BASE_PROCESS_HOOKS_H_

#include <boost/asio/awaitable.hpp>
#include <cstdint>

#include "kumquatgauge/base/time.h"

namespace kumquatgauge::detail {

// The clocks and the random source of a real process. Each thread draws from a
// generator of its own.
auto SteadyNow() -> MonotonicTime;
auto WallNow() -> WallTime;
auto DrawRandom() -> std::uint64_t;

// Waits on the calling coroutine's executor.
auto Pause(Duration duration) -> boost::asio::awaitable<void>;

}  // namespace kumquatgauge::detail

#endif  // BASE_PROCESS_HOOKS_H_
