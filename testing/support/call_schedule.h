#ifndef TESTING_SUPPORT_CALL_SCHEDULE_H_
#define TESTING_SUPPORT_CALL_SCHEDULE_H_

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace kumquatgauge::testing {

// Puts the steps of concurrent calls in an order that a test chooses. A step is
// what a fake does at one moment: it carries out a call, or delivers its
// answer.
class CallSchedule {
 public:
  explicit CallSchedule(boost::asio::io_context& context) : context_(context) {}

  // Suspends a fake's call until the test runs this step.
  auto Await(std::string name) -> boost::asio::awaitable<void> {
    auto timer = std::make_shared<boost::asio::steady_timer>(
        context_, boost::asio::steady_timer::time_point::max());
    Add(std::move(name), [timer] { timer->cancel(); });
    co_await timer->async_wait(
        boost::asio::as_tuple(boost::asio::use_awaitable));
  }

  // Adds a step of the test itself.
  auto Add(std::string name, std::function<auto()->void> run) -> void {
    steps_.push_back({added_++, std::move(name), std::move(run)});
  }

  // Runs a waiting step and everything that follows until the next steps.
  auto Run(std::size_t at) -> void {
    const auto step = std::move(steps_.at(at));
    steps_.erase(steps_.begin() + static_cast<std::ptrdiff_t>(at));
    history_.push_back(step.name);
    step.run();
    Poll();
  }

  auto Poll() -> void {
    context_.restart();
    context_.poll();
  }

  auto waiting() const -> std::size_t { return steps_.size(); }
  // The number of a waiting step, counted from the first one that was added.
  auto number(std::size_t at) const -> std::size_t {
    return steps_.at(at).number;
  }
  // The names of the steps that have run.
  auto history() const -> const std::vector<std::string>& { return history_; }

 private:
  struct Step {
    std::size_t number = 0;
    std::string name;
    std::function<auto()->void> run;
  };

  boost::asio::io_context& context_;
  std::size_t added_ = 0;
  std::vector<Step> steps_;
  std::vector<std::string> history_;
};

}  // namespace kumquatgauge::testing

#endif  // TESTING_SUPPORT_CALL_SCHEDULE_H_
