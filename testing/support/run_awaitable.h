#ifndef TESTING_SUPPORT_RUN_AWAITABLE_H_
#define TESTING_SUPPORT_RUN_AWAITABLE_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <exception>
#include <optional>
#include <stdexcept>
#include <type_traits>

namespace kumquatgauge::testing {

// Longest time that a test waits for anything.
inline constexpr auto kRunLimit = std::chrono::seconds(20);

// Runs `context` until `done` returns true; throws after kRunLimit.
template <typename Done>
auto RunUntil(boost::asio::io_context& context, Done done) -> void {
  const auto limit = std::chrono::steady_clock::now() + kRunLimit;
  while (!done()) {
    if (std::chrono::steady_clock::now() >= limit) {
      throw std::runtime_error("condition not met within the limit");
    }
    context.restart();
    context.run_one_for(std::chrono::milliseconds(100));
  }
}

// Runs `context` until `task` has ended and returns its result or rethrows.
template <typename Result>
auto RunAwaitable(boost::asio::io_context& context,
                  boost::asio::awaitable<Result> task) -> Result {
  auto failure = std::exception_ptr();
  auto done = false;
  if constexpr (std::is_void_v<Result>) {
    boost::asio::co_spawn(context, std::move(task),
                          [&](const std::exception_ptr& error) {
                            failure = error;
                            done = true;
                          });
    RunUntil(context, [&] { return done; });
    if (failure) {
      std::rethrow_exception(failure);
    }
  } else {
    auto result = std::optional<Result>();
    boost::asio::co_spawn(context, std::move(task),
                          [&](const std::exception_ptr& error, Result value) {
                            failure = error;
                            result = std::move(value);
                            done = true;
                          });
    RunUntil(context, [&] { return done; });
    if (failure) {
      std::rethrow_exception(failure);
    }
    if (!result) {
      throw std::logic_error("the task ended without a result");
    }
    return std::move(*result);
  }
}

}  // namespace kumquatgauge::testing

#endif  // TESTING_SUPPORT_RUN_AWAITABLE_H_
