#ifndef TESTING_SUPPORT_FAKE_BACKEND_H_
#define TESTING_SUPPORT_FAKE_BACKEND_H_

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "kumquatgauge/base/error.h"
#include "kumquatgauge/caller/caller_backend.h"

namespace kumquatgauge::testing {

// A fake CallerBackend: tests set its answers, and it records the requests.
class FakeBackend : public caller::CallerBackend {
 public:
  // One completion: passes `tokens` to the sink, then waits for a cancel if
  // `until_cancelled`, else throws `error` if it is set, else returns `end`.
  struct Completion {
    std::vector<routing::Token> tokens;
    caller::CompletionEnd end;
    bool until_cancelled = false;
    std::optional<Error> error;
  };

  // State of one upload, kept after the upload is destroyed.
  struct Upload {
    std::string body;
    bool finished = false;
    bool abandoned = false;
  };

  auto addresses() -> caller::AddressList override {
    return {{"127.0.0.1:1", "127.0.0.1:2"}, std::chrono::seconds(30), "n.1.2"};
  }
  auto ready() -> bool override { return is_ready; }
  auto metrics() -> std::string override { return "kqg_up 1\n"; }
  auto Models() -> std::vector<caller::ModelInfo> override {
    return {{"small", 1}, {"org/large", 2}};
  }

  auto Complete(routing::CompletionRequest request,
                routing::TokenSink sink,
                std::shared_ptr<node::StreamCancel> cancel)
      -> boost::asio::awaitable<caller::CompletionEnd> override {
    completions.push_back(request);
    if (on_complete) {
      co_return co_await on_complete(std::move(request), std::move(sink),
                                     std::move(cancel));
    }
    const auto plan = completion;
    for (const auto& token : plan.tokens) {
      sink(token);
    }
    if (plan.until_cancelled) {
      co_await WaitForCancel(cancel);
      ++cancelled;
      caller::CompletionEnd end;
      end.outcome.kind = OutcomeKind::kCancelled;
      co_return end;
    }
    if (plan.error) {
      throw Error(*plan.error);
    }
    co_return plan.end;
  }

  auto CallService(ServiceName service,
                   upstream::ServiceRequest request,
                   caller::ServiceCallOptions options)
      -> boost::asio::awaitable<caller::ServiceCallEnd> override {
    called_service = std::move(service);
    service_request = std::move(request);
    service_options = std::move(options);
    if (service_error) {
      throw Error(*service_error);
    }
    co_return service_end;
  }

  auto StartBatch(caller::BatchOptions options)
      -> boost::asio::awaitable<std::unique_ptr<caller::BatchUpload>> override {
    batch_options = std::move(options);
    uploads.push_back(std::make_shared<Upload>());
    co_return std::make_unique<FakeBatchUpload>(*this, uploads.back());
  }
  auto BatchStatus(JobId id)
      -> boost::asio::awaitable<nlohmann::json> override {
    co_return Status(id, "running");
  }
  auto CancelBatch(JobId id)
      -> boost::asio::awaitable<nlohmann::json> override {
    co_return Status(id, "cancelled");
  }
  auto ReadResults(JobId id,
                   std::optional<std::string> custom_id,
                   caller::ByteSink sink)
      -> boost::asio::awaitable<void> override {
    Status(id, "completed");
    result_custom_id = std::move(custom_id);
    for (const auto& piece : result_pieces) {
      co_await sink(piece);
      ++pieces_read;
    }
    if (fail_results) {
      throw Error(ErrorKind::kUnavailable, "platform is unavailable", "results",
                  "read them again");
    }
  }

  bool is_ready = true;
  Completion completion;
  std::function<auto(routing::CompletionRequest,
                     routing::TokenSink,
                     std::shared_ptr<node::StreamCancel>)
                    ->boost::asio::awaitable<caller::CompletionEnd>>
      on_complete;
  std::vector<routing::CompletionRequest> completions;
  int cancelled = 0;
  ServiceName called_service;
  upstream::ServiceRequest service_request;
  caller::ServiceCallOptions service_options;
  caller::ServiceCallEnd service_end;
  std::optional<Error> service_error;
  caller::BatchOptions batch_options;
  std::vector<std::shared_ptr<Upload>> uploads;
  std::optional<Error> finish_error;
  std::vector<std::string> result_pieces;
  std::optional<std::string> result_custom_id;
  std::size_t pieces_read = 0;
  bool fail_results = false;

 private:
  class FakeBatchUpload : public caller::BatchUpload {
   public:
    FakeBatchUpload(FakeBackend& backend, std::shared_ptr<Upload> upload)
        : backend_(backend), upload_(std::move(upload)) {}
    FakeBatchUpload(const FakeBatchUpload&) = delete;
    auto operator=(const FakeBatchUpload&) -> FakeBatchUpload& = delete;
    ~FakeBatchUpload() override { upload_->abandoned = !upload_->finished; }

    auto Append(std::string bytes) -> boost::asio::awaitable<void> override {
      upload_->body += bytes;
      co_return;
    }
    auto Finish() -> boost::asio::awaitable<nlohmann::json> override {
      if (backend_.finish_error) {
        throw Error(*backend_.finish_error);
      }
      upload_->finished = true;
      co_return Status(JobId("job-1"), "accepted");
    }

   private:
    FakeBackend& backend_;
    std::shared_ptr<Upload> upload_;
  };

  static auto Status(const JobId& id, const std::string& status)
      -> nlohmann::json {
    if (id.value() == "none") {
      throw Error(ErrorKind::kNotFound, "no such job", id.value(),
                  "check the id");
    }
    return {{"id", id.value()}, {"status", status}};
  }

  static auto WaitForCancel(std::shared_ptr<node::StreamCancel> cancel)
      -> boost::asio::awaitable<void> {
    const auto executor = co_await boost::asio::this_coro::executor;
    auto timer = std::make_shared<boost::asio::steady_timer>(executor);
    timer->expires_at(std::chrono::steady_clock::time_point::max());
    cancel->set_hook([timer] { timer->cancel(); });
    if (!cancel->cancelled()) {
      boost::system::error_code ignored;
      co_await timer->async_wait(
          boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    }
    cancel->set_hook({});
  }
};

}  // namespace kumquatgauge::testing

#endif  // TESTING_SUPPORT_FAKE_BACKEND_H_
