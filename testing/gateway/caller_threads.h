#ifndef TESTING_GATEWAY_CALLER_THREADS_H_
#define TESTING_GATEWAY_CALLER_THREADS_H_

#include <atomic>
#include <functional>
#include <thread>
#include <utility>
#include <vector>

namespace kumquatgauge::testing {

// Callers that call without a pause, each on a thread of its own, until Stop.
class CallerThreads {
 public:
  // Sends the call `number` of a caller; both are counted from 0.
  using Call = std::function<auto(int caller, int number)->void>;

  CallerThreads(int count, Call call) : call_(std::move(call)) {
    for (auto caller = 0; caller < count; ++caller) {
      threads_.emplace_back([this, caller] {
        for (auto number = 0; !stopped_; ++number) {
          call_(caller, number);
        }
      });
    }
  }

  ~CallerThreads() { Stop(); }

  CallerThreads(const CallerThreads&) = delete;
  auto operator=(const CallerThreads&) -> CallerThreads& = delete;

  // Returns once the calls under way have ended.
  auto Stop() -> void {
    stopped_ = true;
    for (auto& thread : threads_) {
      thread.join();
    }
    threads_.clear();
  }

 private:
  Call call_;
  std::atomic<bool> stopped_ = false;
  std::vector<std::thread> threads_;
};

}  // namespace kumquatgauge::testing

#endif  // TESTING_GATEWAY_CALLER_THREADS_H_
