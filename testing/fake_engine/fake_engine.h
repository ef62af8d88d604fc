#ifndef TESTING_FAKE_ENGINE_FAKE_ENGINE_H_
#define TESTING_FAKE_ENGINE_FAKE_ENGINE_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "testing/fake_engine/prefix_cache.h"
#include "testing/support/execution_log.h"
#include "testing/support/http_server.h"

namespace kumquatgauge::testing {

struct FakeEngineSettings {
  std::string listen = "127.0.0.1:0";
  std::vector<std::string> models = {"small@1"};
  std::uint32_t capacity = 16;      // Requests that run concurrently.
  std::uint32_t max_waiting = 256;  // More get 429.
  // Times with one request running; each further request adds the share
  // `growth` of them.
  std::chrono::microseconds first_token_time{40'000};
  std::chrono::microseconds token_time{10'000};
  double growth = 0.02;
  // Added to the first token's time per KB of prompt that is not cached.
  std::chrono::microseconds prefill_time_per_kb{2'000};
  std::size_t cache_bytes = 1U << 20U;
  std::chrono::milliseconds cache_event_delay{500};
  std::uint32_t cache_event_gap = 0;  // Every Nth event is missing; 0: none.
  std::chrono::milliseconds load_lag{200};
  std::chrono::milliseconds order_time{50};
  bool checks_fencing = false;
  std::string record;  // File for the executions; empty for none.

  auto operator==(const FakeEngineSettings&) const -> bool = default;
};

// Faults set by POST /faults; each call replaces all of them.
struct FakeEngineFaults {
  std::int64_t die_after_tokens = -1;     // Counted from now, over all streams.
  std::int64_t refuse_after_tokens = -1;  // Per stream: error event 503.
  bool freeze = false;                    // Answers nothing, keeps connections.
  double slow_factor = 1.0;
  bool drop_answers = false;          // Runs, then closes without an answer.
  std::chrono::milliseconds late{0};  // Runs normally, answers this much later.

  auto operator==(const FakeEngineFaults&) const -> bool = default;
};

// A fake model engine with continuous batching that generates the tokens of
// fake_tokens.h. Runs on one io_context and must outlive its requests.
class FakeEngine {
 public:
  using DieHook = std::function<auto()->void>;

  // Die() first calls `die`, which may end the process, and then closes every
  // connection and stops listening.
  FakeEngine(boost::asio::io_context& context,
             FakeEngineSettings settings,
             DieHook die = {});
  FakeEngine(const FakeEngine&) = delete;
  auto operator=(const FakeEngine&) -> FakeEngine& = delete;
  ~FakeEngine();

  auto address() const -> const std::string& { return server_.address(); }
  auto server() -> HttpServer& { return server_; }
  auto running() const -> std::uint32_t { return running_; }
  auto waiting() const -> std::size_t { return queue_.size(); }
  auto executions() const -> nlohmann::json { return log_.executions(); }
  auto set_faults(const FakeEngineFaults& faults) -> void;
  auto Die() -> void;

 private:
  struct Job;
  struct LoadSample {
    std::chrono::steady_clock::time_point time;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
  };
  struct CacheEvent {
    std::chrono::steady_clock::time_point visible_from;
    std::uint64_t seq = 0;
    bool stored = false;
    std::uint64_t hash = 0;
  };
  using Exchange = std::shared_ptr<HttpExchange>;

  static auto ExecutionFields(const Job& job) -> nlohmann::json;
  static auto Event(const Job& job, const std::string& text) -> nlohmann::json;
  static auto AppendToken(Job& job, std::string& out) -> void;
  static auto EndEvents(const Job& job) -> std::string;
  auto Handle(HttpRequest request, Exchange exchange)
      -> boost::asio::awaitable<void>;
  auto Complete(HttpRequest request, Exchange exchange, bool chat)
      -> boost::asio::awaitable<void>;
  // Waits for a free slot; false when the job was stopped before.
  auto Admit(std::shared_ptr<Job> job) -> boost::asio::awaitable<bool>;
  auto Generate(std::shared_ptr<Job> job) -> boost::asio::awaitable<void>;
  auto SendTokens(std::shared_ptr<Job> job) -> boost::asio::awaitable<void>;
  auto Sleep(std::shared_ptr<Job> job, std::chrono::microseconds time)
      -> boost::asio::awaitable<void>;
  auto WaitWhileFrozen() -> boost::asio::awaitable<void>;
  auto Order(HttpRequest request, Exchange exchange)
      -> boost::asio::awaitable<void>;
  auto ApplyOrder(const nlohmann::json& order) -> void;
  auto Cancel(const std::string& request_id) -> bool;
  auto Load() -> nlohmann::json;
  auto CacheEvents(std::uint64_t after) const -> nlohmann::json;
  auto ReadFaults(const nlohmann::json& body) -> void;

  auto Stop(Job& job, const std::string& outcome) -> void;
  auto StartWaiting() -> void;
  auto SampleLoad() -> void;
  auto Growth() const -> double;
  auto FirstTokenTime(const Job& job) -> std::chrono::microseconds;

  boost::asio::io_context& context_;
  FakeEngineSettings settings_;
  DieHook die_;
  FakeEngineFaults faults_;
  ExecutionLog log_;
  PrefixCache cache_;
  std::set<std::shared_ptr<Job>> jobs_;
  std::deque<std::shared_ptr<Job>> queue_;
  std::uint32_t running_ = 0;
  bool dead_ = false;
  std::deque<LoadSample> samples_;
  std::deque<CacheEvent> cache_events_;
  std::uint64_t cache_seq_ = 0;
  std::uint64_t highest_fence_ = 0;
  std::set<std::string> operations_;  // Orders carried out.
  std::string role_;
  HttpServer server_;
};

}  // namespace kumquatgauge::testing

#endif  // TESTING_FAKE_ENGINE_FAKE_ENGINE_H_
