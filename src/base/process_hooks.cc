#include "base/process_hooks.h"

#include <unistd.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <ctime>
#include <fstream>
#include <random>

namespace kumquatgauge::detail {

namespace asio = boost::asio;

auto SteadyNow() -> MonotonicTime {
  return std::chrono::steady_clock::now();
}

auto BootNow() -> MonotonicTime {
  auto time = timespec();
  clock_gettime(CLOCK_BOOTTIME, &time);
  return MonotonicTime(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(time.tv_sec) +
      std::chrono::nanoseconds(time.tv_nsec)));
}

auto WallNow() -> WallTime {
  return std::chrono::system_clock::now();
}

auto DrawRandom() -> std::uint64_t {
  thread_local auto generator = std::mt19937_64(std::random_device()());
  return generator();
}

auto ResidentBytes() -> double {
  auto file = std::ifstream("/proc/self/statm");
  auto total_pages = 0.0;
  auto resident_pages = 0.0;
  file >> total_pages >> resident_pages;
  return resident_pages * static_cast<double>(::sysconf(_SC_PAGESIZE));
}

auto Pause(Duration duration) -> asio::awaitable<void> {
  auto timer = asio::steady_timer(co_await asio::this_coro::executor, duration);
  auto ignored = boost::system::error_code();
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

}  // namespace kumquatgauge::detail
