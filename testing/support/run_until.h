#ifndef TESTING_SUPPORT_RUN_UNTIL_H_
#define TESTING_SUPPORT_RUN_UNTIL_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <exception>
#include <functional>
#include <memory>
#include <stdexcept>
#include <type_traits>
#include <utility>

namespace kumquatgauge::testing {

inline constexpr std::chrono::seconds kRunLimit{20};
inline constexpr std::chrono::milliseconds kRunStep{5};

// Runs `context` until `done` returns true; false when the limit passes first.
inline auto RunUntil(boost::asio::io_context& context,
                     const std::function<auto()->bool>& done,
                     std::chrono::milliseconds limit = kRunLimit) -> bool {
  const auto end = std::chrono::steady_clock::now() + limit;
  while (!done()) {
    if (std::chrono::steady_clock::now() > end) {
      return false;
    }
    context.restart();
    context.run_one_for(kRunStep);
  }
  return true;
}

// Runs `context` until the coroutine has returned, and returns or throws what
// it did; throws when the limit passes first.
template <typename T>
auto RunAwait(boost::asio::io_context& context,
              boost::asio::awaitable<T> awaitable,
              std::chrono::milliseconds limit = kRunLimit) -> T {
  using Stored = std::conditional_t<std::is_void_v<T>, bool, T>;
  struct State {
    bool done = false;
    std::exception_ptr error;
    std::unique_ptr<Stored> value;
  };
  auto state = std::make_shared<State>();
  if constexpr (std::is_void_v<T>) {
    boost::asio::co_spawn(context, std::move(awaitable),
                          [state](const std::exception_ptr& error) {
                            state->done = true;
                            state->error = error;
                          });
  } else {
    boost::asio::co_spawn(context, std::move(awaitable),
                          [state](const std::exception_ptr& error, T value) {
                            state->done = true;
                            state->error = error;
                            state->value =
                                std::make_unique<T>(std::move(value));
                          });
  }
  if (!RunUntil(
          context, [state] { return state->done; }, limit)) {
    throw std::runtime_error("coroutine did not end in time");
  }
  if (state->error) {
    std::rethrow_exception(state->error);
  }
  if constexpr (!std::is_void_v<T>) {
    return std::move(*state->value);
  }
}

}  // namespace kumquatgauge::testing

#endif  // TESTING_SUPPORT_RUN_UNTIL_H_
