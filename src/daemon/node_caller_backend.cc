#include "kumquatgauge/daemon/node_caller_backend.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "kumquatgauge/base/error.h"

namespace kumquatgauge::daemon {
namespace {

namespace asio = boost::asio;

constexpr auto kStatusBadRequest = 400;

auto ToMillis(WallTime time) -> batch::WallMillis {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             time.time_since_epoch())
      .count();
}

auto ResultLine(const batch::ItemResult& result) -> std::string {
  auto line = nlohmann::json();
  line["custom_id"] = result.custom_id;
  line["outcome"] = OutcomeKindName(result.outcome);
  line["attempts"] = result.attempts;
  if (result.outcome == OutcomeKind::kCompleted) {
    line["response"]["text"] = result.text;
    line["response"]["finish_reason"] = result.finish_reason;
  } else {
    line["error"]["message"] = result.reason;
  }
  return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) +
         "\n";
}

// One batch upload. Its submission is used and destroyed on the control thread.
class Upload : public caller::BatchUpload {
 public:
  Upload(asio::io_context& control,
         std::shared_ptr<batch::BatchService> service,
         std::unique_ptr<batch::Submission> submission)
      : control_(control),
        service_(std::move(service)),
        submission_(std::move(submission)) {}

  ~Upload() override {
    asio::post(control_, [submission = std::shared_ptr<batch::Submission>(
                              std::move(submission_)),
                          service = std::move(service_)] {});
  }
  Upload(const Upload&) = delete;
  auto operator=(const Upload&) -> Upload& = delete;

  auto Append(std::string bytes) -> asio::awaitable<void> override {
    co_await asio::co_spawn(control_, submission_->Append(std::move(bytes)),
                            asio::use_awaitable);
  }

  auto Finish() -> asio::awaitable<nlohmann::json> override {
    co_return co_await asio::co_spawn(control_, FinishOnControl(),
                                      asio::use_awaitable);
  }

 private:
  auto FinishOnControl() -> asio::awaitable<nlohmann::json> {
    const auto result = co_await submission_->Finish();
    auto status = JobToJson(co_await service_->Status(result.manifest.id));
    status["created"] = result.created;
    const auto estimate = service_->EstimateNew(result.manifest);
    status["on_time"] = estimate.on_time;
    status["why"] = estimate.reason;
    co_return status;
  }

  asio::io_context& control_;
  std::shared_ptr<batch::BatchService> service_;
  std::unique_ptr<batch::Submission> submission_;
};

}  // namespace

auto JobToJson(const batch::JobView& view) -> nlohmann::json {
  auto rejected = nlohmann::json::array();
  for (const auto& line : view.rejected_lines) {
    rejected.push_back({{"line", line.line}, {"reason", line.reason}});
  }
  auto status = nlohmann::json();
  status["id"] = view.id.value();
  status["object"] = "batch";
  status["organisation"] = view.organisation.value();
  status["key"] = view.client_key;
  status["service"] = view.service.value();
  status["status"] = batch::JobStatusName(view.status);
  status["items"] = view.items;
  status["completed"] = view.completed;
  status["failed"] = view.failed;
  status["in_flight"] = view.in_flight;
  status["waiting_for_commit"] = view.waiting_for_commit;
  status["rejected"] = view.rejected;
  status["rejected_lines"] = std::move(rejected);
  status["due_ms"] = view.due;
  status["ended_ms"] = view.ended;
  if (view.status == batch::JobStatus::kRunning) {
    status["on_time"] = view.estimate.on_time;
    status["why"] = view.estimate.reason;
  }
  return status;
}

NodeCallerBackend::NodeCallerBackend(Dependencies dependencies)
    : dependencies_(std::move(dependencies)) {}

auto NodeCallerBackend::addresses() -> caller::AddressList {
  const auto nodes = dependencies_.table.nodes();
  const auto self = dependencies_.table.FindNode(dependencies_.self);
  struct Ranked {
    bool other_zone = false;
    std::uint64_t order = 0;
    std::string address;
  };
  auto ranked = std::vector<Ranked>();
  {
    // The random order spreads callers over the nodes of a zone.
    const auto lock = std::lock_guard(random_mutex_);
    for (const auto& node : nodes) {
      if (!node.leaving) {
        ranked.push_back({.other_zone = self && node.zone != self->zone,
                          .order = dependencies_.random(),
                          .address = node.caller_address});
      }
    }
  }
  std::sort(ranked.begin(), ranked.end(), [](const auto& a, const auto& b) {
    return std::tie(a.other_zone, a.order) < std::tie(b.other_zone, b.order);
  });
  auto answer = caller::AddressList();
  for (auto& entry : ranked) {
    answer.addresses.push_back(std::move(entry.address));
  }
  answer.ttl = dependencies_.answer_ttl;
  answer.ticket = dependencies_.once.IssueTicket();
  return answer;
}

auto NodeCallerBackend::metrics() -> std::string {
  return dependencies_.metrics.Text();
}

auto NodeCallerBackend::Models() -> std::vector<caller::ModelInfo> {
  auto models = std::vector<caller::ModelInfo>();
  for (auto& model : dependencies_.directory.view()->models()) {
    models.push_back({.id = std::move(model)});
  }
  return models;
}

auto NodeCallerBackend::CheckReady() const -> void {
  if (!ready_) {
    throw Error(ErrorKind::kUnavailable, "node has no configuration yet",
                dependencies_.self.value(),
                "use another address of /v1/addresses or retry in 1 s");
  }
}

auto NodeCallerBackend::Complete(routing::CompletionRequest request,
                                 routing::TokenSink sink,
                                 std::shared_ptr<node::StreamCancel> cancel)
    -> asio::awaitable<caller::CompletionEnd> {
  CheckReady();
  const auto model = request.service.value();
  const auto spec = dependencies_.directory.view()->ServiceOfModel(model);
  if (!spec || spec->kind != control::ServiceKind::kModel) {
    throw Error(ErrorKind::kNotFound, "no such model", model,
                "see GET /v1/models");
  }
  request.service = spec->name;
  auto end = co_await dependencies_.router.Complete(
      std::move(request), std::move(sink), std::move(cancel));
  auto answer = caller::CompletionEnd{.outcome = std::move(end.outcome),
                                      .finish_reason = end.finish_reason};
  if (end.finish_reason == routing::kFinishRejected) {
    answer.http_status = kStatusBadRequest;
  }
  co_return answer;
}

auto NodeCallerBackend::CallService(ServiceName service,
                                    upstream::ServiceRequest request,
                                    caller::ServiceCallOptions options)
    -> asio::awaitable<caller::ServiceCallEnd> {
  CheckReady();
  co_return co_await dependencies_.once.Call(
      std::move(service), std::move(request), std::move(options));
}

auto NodeCallerBackend::StartBatch(caller::BatchOptions options)
    -> asio::awaitable<std::unique_ptr<caller::BatchUpload>> {
  CheckReady();
  const auto model = options.service.value();
  const auto spec = dependencies_.directory.view()->ServiceOfModel(model);
  if (!spec || spec->kind != control::ServiceKind::kModel) {
    throw Error(ErrorKind::kNotFound, "no such model or service", model,
                "see GET /v1/models");
  }
  const auto service = dependencies_.batch();
  auto request = batch::SubmissionRequest();
  request.organisation = options.organisation;
  request.client_key = options.idempotency_key;
  request.service = spec->name;
  request.due = ToMillis(options.due);
  co_return std::make_unique<Upload>(dependencies_.control, service,
                                     service->Submit(std::move(request)));
}

auto NodeCallerBackend::StatusOnControl(JobId id)
    -> asio::awaitable<nlohmann::json> {
  const auto service = dependencies_.batch();
  co_return JobToJson(co_await service->Status(std::move(id)));
}

auto NodeCallerBackend::CancelOnControl(JobId id)
    -> asio::awaitable<nlohmann::json> {
  const auto service = dependencies_.batch();
  co_await service->Cancel(id);
  co_return JobToJson(co_await service->Status(std::move(id)));
}

auto NodeCallerBackend::BatchStatus(JobId id)
    -> asio::awaitable<nlohmann::json> {
  co_return co_await asio::co_spawn(dependencies_.control,
                                    StatusOnControl(std::move(id)),
                                    asio::use_awaitable);
}

auto NodeCallerBackend::CancelBatch(JobId id)
    -> asio::awaitable<nlohmann::json> {
  co_return co_await asio::co_spawn(dependencies_.control,
                                    CancelOnControl(std::move(id)),
                                    asio::use_awaitable);
}

auto NodeCallerBackend::ReadResults(JobId id,
                                    std::optional<std::string> custom_id,
                                    caller::ByteSink sink)
    -> asio::awaitable<void> {
  const auto service = dependencies_.batch();
  if (custom_id) {
    const auto found = co_await asio::co_spawn(
        dependencies_.control,
        batch::FindResult(service->store(), id, *custom_id),
        asio::use_awaitable);
    if (!found) {
      throw Error(ErrorKind::kNotFound, "no result yet", *custom_id,
                  "ask again later, or check the custom_id");
    }
    co_await sink(ResultLine(*found));
    co_return;
  }
  auto reader = batch::ResultReader(service->store(), id);
  while (true) {
    const auto results = co_await asio::co_spawn(
        dependencies_.control, reader.NextChunk(), asio::use_awaitable);
    if (results.empty()) {
      break;
    }
    auto bytes = std::string();
    for (const auto& result : results) {
      bytes += ResultLine(result);
    }
    co_await sink(std::move(bytes));
  }
}

}  // namespace kumquatgauge::daemon
