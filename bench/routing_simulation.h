#ifndef BENCH_ROUTING_SIMULATION_H_
#define BENCH_ROUTING_SIMULATION_H_

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <functional>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "kumquatgauge/base/time.h"
#include "testing/support/manual_clock.h"

namespace kumquatgauge::bench {

inline auto Milliseconds(double value) -> Duration {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(value));
}

inline auto InMilliseconds(Duration value) -> double {
  return std::chrono::duration<double, std::milli>(value).count();
}

// Value below which `share` of the samples lie; 0 without samples.
inline auto Quantile(std::vector<double> samples, double share) -> double {
  if (samples.empty()) {
    return 0.0;
  }
  auto rank = static_cast<std::size_t>(
      std::ceil(share * static_cast<double>(samples.size())));
  auto place = samples.begin() +
               static_cast<std::ptrdiff_t>(std::max<std::size_t>(rank, 1) - 1);
  std::nth_element(samples.begin(), place, samples.end());
  return *place;
}

// Discrete-event simulation on a manual clock.
class Simulation {
 public:
  explicit Simulation(std::uint64_t seed) : random_(seed) {}

  auto After(Duration delay, std::function<auto()->void> action) -> void {
    events_.push({clock_.now() + delay, next_++, std::move(action)});
  }
  auto RunUntil(MonotonicTime end) -> void {
    while (!events_.empty() && events_.top().time <= end) {
      auto event = std::move(const_cast<Event&>(events_.top()));
      events_.pop();
      clock_.Advance(event.time - clock_.now());
      event.action();
    }
    clock_.Advance(end - clock_.now());
  }
  auto now() const -> MonotonicTime { return clock_.now(); }
  auto AsHook() -> Clock { return clock_.AsHook(); }
  auto random() -> std::mt19937_64& { return random_; }
  // Random time until the next event of a Poisson process with `per_second`
  // events per second.
  auto Poisson(double per_second) -> Duration {
    std::exponential_distribution<double> gap(per_second);
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(gap(random_)));
  }

 private:
  struct Event {
    MonotonicTime time;
    std::uint64_t number = 0;
    std::function<auto()->void> action;

    auto operator<(const Event& other) const -> bool {
      return std::pair(time, number) > std::pair(other.time, other.number);
    }
  };

  testing::ManualClock clock_;
  std::mt19937_64 random_;
  std::priority_queue<Event> events_;
  std::uint64_t next_ = 0;
};

struct EngineModel {
  std::uint32_t capacity = 16;
  // A step gives every running request one token; its duration grows with their
  // number and with the number of requests that join in it.
  double step_ms = 12.0;
  double step_per_request_ms = 1.2;
  double prefill_ms = 15.0;
  double slow_factor = 1.0;

  auto StepMs(std::uint32_t running) const -> double {
    return slow_factor * (step_ms + step_per_request_ms * running);
  }
  // Tokens per second with `running` requests at all times, including the
  // prefills for requests of `mean_tokens`.
  auto TokenRate(std::uint32_t running, double mean_tokens) const -> double {
    auto step =
        StepMs(running) + slow_factor * prefill_ms * running / mean_tokens;
    return 1000.0 * running / step;
  }
};

// A batching engine: admits requests in arrival order up to its capacity.
class Engine {
 public:
  // Called at the end of each step with the request and the number of its
  // tokens; `last` when it is complete.
  using TokenHook = std::function<
      auto(std::uint64_t id, std::uint32_t tokens, bool last)->void>;

  Engine(Simulation& simulation, EngineModel model, TokenHook on_token)
      : simulation_(simulation),
        model_(model),
        on_token_(std::move(on_token)) {}

  auto Submit(std::uint64_t id, std::uint32_t tokens) -> void {
    waiting_.push_back({id, 0, tokens});
    if (!stepping_) {
      Step();
    }
  }
  // Takes effect at the end of the running step, as in a real engine.
  auto Cancel(std::uint64_t id) -> void { cancelled_.push_back(id); }
  auto in_flight() const -> std::uint32_t {
    return static_cast<std::uint32_t>(running_.size() + waiting_.size());
  }
  auto running() const -> std::uint32_t {
    return static_cast<std::uint32_t>(running_.size());
  }
  auto model() -> EngineModel& { return model_; }
  // Called when a cancelled request has been removed.
  std::function<auto(std::uint64_t id)->void> on_cancelled;

 private:
  struct Stream {
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
    std::uint32_t wanted = 0;
  };

  auto Step() -> void {
    std::uint32_t joined = 0;
    while (!waiting_.empty() && running_.size() < model_.capacity) {
      running_.push_back(waiting_.front());
      waiting_.pop_front();
      ++joined;
    }
    stepping_ = !running_.empty();
    if (stepping_) {
      auto time = model_.StepMs(running()) +
                  model_.slow_factor * model_.prefill_ms * joined;
      simulation_.After(Milliseconds(time), [this] { EndStep(); });
    }
  }
  auto EndStep() -> void {
    auto batch = std::move(running_);
    running_.clear();
    std::vector<Stream> emitted;
    for (auto& stream : batch) {
      ++stream.tokens;
      emitted.push_back(stream);
      if (stream.tokens < stream.wanted) {
        running_.push_back(stream);
      }
    }
    for (const auto& stream : emitted) {
      on_token_(stream.id, stream.tokens, stream.tokens >= stream.wanted);
    }
    for (auto id : std::exchange(cancelled_, {})) {
      auto is = [id](const Stream& stream) { return stream.id == id; };
      if (std::erase_if(running_, is) + std::erase_if(waiting_, is) > 0) {
        on_cancelled(id);
      }
    }
    Step();
  }

  Simulation& simulation_;
  EngineModel model_;
  TokenHook on_token_;
  std::deque<Stream> waiting_;
  std::vector<Stream> running_;
  std::vector<std::uint64_t> cancelled_;
  bool stepping_ = false;
};

// Prints the result lines and keeps the exit status.
class Report {
 public:
  Report(int argc, char** argv) {
    for (int index = 1; index + 1 < argc; ++index) {
      if (std::string(argv[index]) == "--seed") {
        seed_ = std::strtoull(argv[index + 1], nullptr, 10);
      }
    }
    std::printf("seed %llu\n", static_cast<unsigned long long>(seed_));
  }

  auto AtMost(const std::string& name, double figure, double bound) -> void {
    Line(name, figure, bound, figure <= bound);
  }
  auto AtLeast(const std::string& name, double figure, double bound) -> void {
    Line(name, figure, bound, figure >= bound);
  }
  // A figure without a bound, for comparison.
  auto Measured(const std::string& name, double figure) -> void {
    std::printf("measured %s figure=%.4g\n", name.c_str(), figure);
  }
  auto seed() const -> std::uint64_t { return seed_; }
  auto status() const -> int { return failed_ ? EXIT_FAILURE : EXIT_SUCCESS; }

 private:
  auto Line(const std::string& name, double figure, double bound, bool pass)
      -> void {
    failed_ = failed_ || !pass;
    std::printf("bench %s figure=%.4g bound=%.4g %s\n", name.c_str(), figure,
                bound, pass ? "pass" : "fail");
    std::fflush(stdout);
  }

  std::uint64_t seed_ = 1;
  bool failed_ = false;
};

}  // namespace kumquatgauge::bench

#endif  // BENCH_ROUTING_SIMULATION_H_
