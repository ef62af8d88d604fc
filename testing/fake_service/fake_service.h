#ifndef TESTING_FAKE_SERVICE_FAKE_SERVICE_H_
#define TESTING_FAKE_SERVICE_FAKE_SERVICE_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "testing/support/execution_log.h"
#include "testing/support/http_server.h"

namespace kumquatgauge::testing {

struct FakeServiceSettings {
  std::string listen = "127.0.0.1:0";
  std::uint32_t capacity = 64;
  std::chrono::milliseconds work_time{2};
  std::string record;  // File for the executions; empty for none.

  auto operator==(const FakeServiceSettings&) const -> bool = default;
};

// Faults set by POST /faults; each call replaces all of them.
struct FakeServiceFaults {
  bool lose_answers = false;  // Executes, then closes without an answer.
  std::chrono::milliseconds slow{0};
  bool freeze = false;          // Answers nothing, keeps connections.
  bool refuse = false;          // 503 before execution.
  std::int64_t die_after = -1;  // Executions from now; dies during the last.

  auto operator==(const FakeServiceFaults&) const -> bool = default;
};

// A fake plain service: a call to any path but /load, /faults and /executions
// is executed and recorded. Runs on one io_context and must outlive its
// requests.
class FakeService {
 public:
  using DieHook = std::function<auto()->void>;

  // `die` as for FakeEngine.
  FakeService(boost::asio::io_context& context,
              FakeServiceSettings settings,
              DieHook die = {});
  FakeService(const FakeService&) = delete;
  auto operator=(const FakeService&) -> FakeService& = delete;

  auto address() const -> const std::string& { return server_.address(); }
  auto server() -> HttpServer& { return server_; }
  auto executions() const -> nlohmann::json { return log_.executions(); }
  auto set_faults(const FakeServiceFaults& faults) -> void { faults_ = faults; }
  auto Die() -> void;

 private:
  using Exchange = std::shared_ptr<HttpExchange>;

  auto Handle(HttpRequest request, Exchange exchange)
      -> boost::asio::awaitable<void>;
  auto Execute(HttpRequest request, Exchange exchange)
      -> boost::asio::awaitable<void>;
  auto Sleep(std::chrono::milliseconds time) -> boost::asio::awaitable<void>;
  auto WaitWhileFrozen() -> boost::asio::awaitable<void>;
  auto ReadFaults(const nlohmann::json& body) -> void;

  boost::asio::io_context& context_;
  FakeServiceSettings settings_;
  DieHook die_;
  FakeServiceFaults faults_;
  ExecutionLog log_;
  std::uint32_t running_ = 0;
  bool dead_ = false;
  HttpServer server_;
};

}  // namespace kumquatgauge::testing

#endif  // TESTING_FAKE_SERVICE_FAKE_SERVICE_H_
