#include "kumquatgauge/daemon/dispatch_service.h"

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <optional>
#include <unordered_map>
#include <utility>

#include "kumquatgauge/base/error.h"

namespace kumquatgauge::daemon {
namespace {

using routing::DispatchAction;
using routing::DispatchResult;
using upstream::StreamEnd;

// Tokens between two reports of progress to the dispatcher. A report per token
// would take a lock two million times per second across the fleet.
constexpr std::uint64_t kProgressStep = 8;

// A replica counts as down after this many failed requests and load reports in
// a row, when it has answered before and gave no token for kSilenceUntilDown.
constexpr int kFailuresUntilDown = 2;
constexpr auto kSilenceUntilDown = std::chrono::milliseconds(1000);
// Added to the load of a replica that is down, so that routers prefer others.
constexpr std::uint32_t kDownLoadPenalty = 10'000;

auto ToMilliseconds(Duration duration) -> double {
  return std::chrono::duration<double, std::milli>(duration).count();
}

auto UpstreamEndOf(StreamEnd::Kind kind) -> routing::UpstreamEnd {
  switch (kind) {
    case StreamEnd::Kind::kCompleted:
      return routing::UpstreamEnd::kCompleted;
    case StreamEnd::Kind::kRefused:
      return routing::UpstreamEnd::kRefused;
    case StreamEnd::Kind::kRejected:
    case StreamEnd::Kind::kFailed:
      return routing::UpstreamEnd::kFailed;
    case StreamEnd::Kind::kLost:
      return routing::UpstreamEnd::kLost;
    case StreamEnd::Kind::kCancelled:
      break;
  }
  return routing::UpstreamEnd::kCancelled;
}

auto MakeResult(DispatchResult::Kind kind, Outcome outcome) -> DispatchResult {
  auto result = DispatchResult();
  result.kind = kind;
  result.outcome = std::move(outcome);
  return result;
}

auto ResultOf(const StreamEnd& end, bool preempted) -> DispatchResult {
  auto outcome = Outcome();
  outcome.reason = end.reason;
  outcome.tokens = end.next_offset;
  auto kind = DispatchResult::Kind::kEnded;
  switch (end.kind) {
    case StreamEnd::Kind::kCompleted:
      outcome.kind = OutcomeKind::kCompleted;
      break;
    case StreamEnd::Kind::kRefused:
      kind = DispatchResult::Kind::kBusy;
      outcome.kind = OutcomeKind::kNotRun;
      break;
    case StreamEnd::Kind::kRejected:
    case StreamEnd::Kind::kFailed:
      outcome.kind = OutcomeKind::kFailed;
      break;
    case StreamEnd::Kind::kLost:
      kind = DispatchResult::Kind::kLost;
      outcome.kind = OutcomeKind::kFailed;
      break;
    case StreamEnd::Kind::kCancelled:
      kind = preempted ? DispatchResult::Kind::kPreempted : kind;
      outcome.kind = OutcomeKind::kCancelled;
      break;
  }
  auto result = MakeResult(kind, std::move(outcome));
  result.finish_reason = end.kind == StreamEnd::Kind::kRejected
                             ? routing::kFinishRejected
                             : end.finish_reason;
  return result;
}

auto UnknownReplica(const ReplicaId& replica) -> DispatchResult {
  constexpr auto kRetryAfter = std::chrono::milliseconds(500);
  return MakeResult(
      DispatchResult::Kind::kBusy,
      {.kind = OutcomeKind::kNotRun,
       .reason = "replica " + replica.value() + " is not known here",
       .retry_after = kRetryAfter});
}

auto DownResult(const routing::ReplicaLoad& load) -> DispatchResult {
  constexpr auto kRetryAfter = std::chrono::milliseconds(1000);
  auto result =
      MakeResult(DispatchResult::Kind::kBusy,
                 {.kind = OutcomeKind::kNotRun,
                  .reason = "replica " + load.replica.value() + " is down",
                  .retry_after = kRetryAfter});
  result.load = load;
  result.replica_down = true;
  return result;
}

}  // namespace

// A request that waits or runs at a dispatcher. Used only on its own executor,
// to which the actions of the dispatcher are posted.
struct DispatchService::Waiter {
  explicit Waiter(boost::asio::any_io_executor on)
      : executor(std::move(on)), timer(executor) {}

  boost::asio::any_io_executor executor;
  boost::asio::steady_timer timer;
  bool decided = false;      // Whether `admission` is set.
  DispatchAction admission;  // kStart, kRefuse or kExpire.
  std::shared_ptr<upstream::StreamHandle> stream;
  bool preempted = false;
  bool cancelled = false;

  auto OnAction(const DispatchAction& action) -> void {
    if (action.kind == DispatchAction::Kind::kPreempt) {
      preempted = true;
      CancelStream();
      return;
    }
    admission = action;
    decided = true;
    timer.cancel();
  }

  auto OnCancel() -> void {
    cancelled = true;
    CancelStream();
    timer.cancel();
  }

  auto CancelStream() -> void {
    if (stream) {
      stream->Cancel();
    }
  }
};

// One replica's dispatcher with the requests that wait or run under it.
class DispatchService::ReplicaDispatcher {
 public:
  explicit ReplicaDispatcher(routing::Dispatcher dispatcher)
      : dispatcher_(std::move(dispatcher)) {}

  auto Register(const RequestId& id, std::shared_ptr<Waiter> waiter) -> void {
    const auto lock = std::lock_guard(mutex_);
    waiters_[id] = std::move(waiter);
  }

  auto Unregister(const RequestId& id) -> void {
    const auto lock = std::lock_guard(mutex_);
    waiters_.erase(id);
  }

  // Passes an event to the dispatcher and its actions to the requests.
  template <typename Event>
  auto Apply(Event event) -> void {
    const auto lock = std::lock_guard(mutex_);
    for (auto& action : event(dispatcher_)) {
      const auto found = waiters_.find(action.id);
      if (found != waiters_.end()) {
        boost::asio::post(found->second->executor,
                          [waiter = found->second, action = std::move(action)] {
                            waiter->OnAction(action);
                          });
      }
    }
  }

  auto load(MonotonicTime now) const -> routing::ReplicaLoad {
    const auto lock = std::lock_guard(mutex_);
    auto load = dispatcher_.load();
    if (IsDown(now)) {
      load.online_in_flight += kDownLoadPenalty;
      load.free_batch_slots = 0;
    }
    return load;
  }

  // The replica has sent a token or a load report.
  auto OnResponse(MonotonicTime now) -> void {
    const auto lock = std::lock_guard(mutex_);
    failures_ = 0;
    last_response_ = now;
  }

  auto OnFailure() -> void {
    const auto lock = std::lock_guard(mutex_);
    ++failures_;
  }

  auto down(MonotonicTime now) const -> bool {
    const auto lock = std::lock_guard(mutex_);
    return IsDown(now);
  }

  auto in_flight() const -> std::size_t {
    const auto lock = std::lock_guard(mutex_);
    return dispatcher_.running() + dispatcher_.waiting();
  }

  auto address() const -> std::string {
    const auto lock = std::lock_guard(mutex_);
    return dispatcher_.replica().address;
  }

 private:
  auto IsDown(MonotonicTime now) const -> bool {
    return last_response_ && failures_ >= kFailuresUntilDown &&
           now - *last_response_ > kSilenceUntilDown;
  }

  mutable std::mutex mutex_;
  routing::Dispatcher dispatcher_;
  int failures_ = 0;
  std::optional<MonotonicTime> last_response_;
  std::unordered_map<RequestId, std::shared_ptr<Waiter>> waiters_;
};

DispatchService::DispatchService(TrafficPool& pool,
                                 Clock clock,
                                 routing::DispatcherSettings settings,
                                 routing::Dispatcher::OrganisationWeight weight,
                                 BatchSettingsOf batch_settings,
                                 LoadHook on_load,
                                 MetricsRegistry& metrics)
    : pool_(pool),
      clock_(std::move(clock)),
      settings_(settings),
      weight_(std::move(weight)),
      batch_settings_(std::move(batch_settings)),
      on_load_(std::move(on_load)),
      first_token_(metrics.histogram("kqg_engine_first_token_seconds")),
      inter_token_(metrics.histogram("kqg_engine_inter_token_seconds")),
      tokens_(metrics.counter("kqg_engine_tokens_total")),
      refusals_(metrics.counter("kqg_dispatch_refusals_total")),
      preemptions_(metrics.counter("kqg_dispatch_preemptions_total")) {}

auto DispatchService::SetReplicas(const std::vector<routing::Replica>& replicas)
    -> void {
  const auto lock = std::unique_lock(mutex_);
  replicas_.clear();
  for (const auto& replica : replicas) {
    replicas_.emplace(replica.id, replica);
  }
  for (auto& [id, replica_dispatcher] : dispatchers_) {
    const auto found = replicas_.find(id);
    if (found == replicas_.end()) {
      replica_dispatcher->Apply([](routing::Dispatcher& dispatcher) {
        auto gone = dispatcher.replica();
        gone.leaving = true;
        return dispatcher.SetReplica(gone);
      });
      continue;
    }
    replica_dispatcher->Apply([&found](routing::Dispatcher& dispatcher) {
      return dispatcher.SetReplica(found->second);
    });
    const auto batch = batch_settings_(found->second.service);
    replica_dispatcher->Apply([&batch](routing::Dispatcher& dispatcher) {
      return dispatcher.SetBatchSettings(batch);
    });
  }
  std::erase_if(dispatchers_, [this](const auto& entry) {
    return !replicas_.contains(entry.first) && entry.second->in_flight() == 0;
  });
}

auto DispatchService::MakeDispatcher(const routing::Replica& replica) const
    -> std::shared_ptr<ReplicaDispatcher> {
  auto settings = settings_;
  settings.limit.initial = replica.capacity;
  settings.limit.max = replica.capacity;
  settings.batch = batch_settings_(replica.service);
  return std::make_shared<ReplicaDispatcher>(
      routing::Dispatcher(replica, settings, clock_, weight_));
}

auto DispatchService::FindDispatcher(const ReplicaId& replica)
    -> std::shared_ptr<ReplicaDispatcher> {
  {
    const auto lock = std::shared_lock(mutex_);
    const auto found = dispatchers_.find(replica);
    if (found != dispatchers_.end()) {
      return found->second;
    }
  }
  const auto lock = std::unique_lock(mutex_);
  const auto known = replicas_.find(replica);
  if (known == replicas_.end()) {
    return nullptr;
  }
  auto& replica_dispatcher = dispatchers_[replica];
  if (!replica_dispatcher) {
    replica_dispatcher = MakeDispatcher(known->second);
  }
  return replica_dispatcher;
}

auto DispatchService::AllDispatchers() const
    -> std::vector<std::shared_ptr<ReplicaDispatcher>> {
  const auto lock = std::shared_lock(mutex_);
  auto dispatchers = std::vector<std::shared_ptr<ReplicaDispatcher>>();
  for (const auto& [id, replica_dispatcher] : dispatchers_) {
    dispatchers.push_back(replica_dispatcher);
  }
  return dispatchers;
}

auto DispatchService::Run(routing::CompletionRequest request,
                          ReplicaId replica,
                          routing::TokenSink sink,
                          std::shared_ptr<node::StreamCancel> cancel)
    -> boost::asio::awaitable<DispatchResult> {
  const auto replica_dispatcher = FindDispatcher(replica);
  if (!replica_dispatcher) {
    co_return UnknownReplica(replica);
  }
  if (replica_dispatcher->down(clock_())) {
    refusals_.Add();
    co_return DownResult(replica_dispatcher->load(clock_()));
  }
  const auto id = request.id;
  const auto waiter =
      std::make_shared<Waiter>(co_await boost::asio::this_coro::executor);
  if (cancel) {
    cancel->set_hook([replica_dispatcher, waiter, id] {
      replica_dispatcher->Apply([&id](routing::Dispatcher& dispatcher) {
        return dispatcher.Cancelled(id);
      });
      waiter->OnCancel();
    });
    if (cancel->cancelled()) {
      waiter->cancelled = true;
    }
  }
  replica_dispatcher->Register(id, waiter);
  auto result = DispatchResult();
  try {
    replica_dispatcher->Apply([&request](routing::Dispatcher& dispatcher) {
      return dispatcher.Arrive(routing::DispatchItemOf(request));
    });
    co_await WaitForAction(waiter);
    if (waiter->cancelled) {
      // The dispatcher may have started the request already, but nothing was
      // sent to the replica.
      replica_dispatcher->Apply([&id](routing::Dispatcher& dispatcher) {
        auto actions = dispatcher.Cancelled(id);
        auto more = dispatcher.Finished(id, routing::UpstreamEnd::kCancelled);
        actions.insert(actions.end(), more.begin(), more.end());
        return actions;
      });
      result = MakeResult(DispatchResult::Kind::kEnded,
                          {.kind = OutcomeKind::kCancelled,
                           .reason = "cancelled while it waited",
                           .tokens = request.resume_offset});
    } else if (waiter->admission.kind == DispatchAction::Kind::kStart) {
      result = co_await StreamFromEngine(replica_dispatcher, waiter,
                                         std::move(request), std::move(sink));
    } else {
      refusals_.Add();
      result =
          MakeResult(DispatchResult::Kind::kBusy, waiter->admission.outcome);
    }
  } catch (const Error& error) {
    // The dispatcher already has a request with this ID, so none was started.
    result = MakeResult(DispatchResult::Kind::kBusy,
                        {.kind = OutcomeKind::kNotRun, .reason = error.what()});
  }
  if (cancel) {
    cancel->set_hook(nullptr);
  }
  replica_dispatcher->Unregister(id);
  result.load = replica_dispatcher->load(clock_());
  result.replica_down = replica_dispatcher->down(clock_());
  if (on_load_) {
    on_load_(result.load);
  }
  co_return result;
}

auto DispatchService::WaitForAction(std::shared_ptr<Waiter> waiter)
    -> boost::asio::awaitable<void> {
  while (!waiter->decided && !waiter->cancelled) {
    auto ignored = boost::system::error_code();
    waiter->timer.expires_at(MonotonicTime::max());
    co_await waiter->timer.async_wait(
        boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
  }
}

auto DispatchService::StreamFromEngine(
    std::shared_ptr<ReplicaDispatcher> replica_dispatcher,
    std::shared_ptr<Waiter> waiter,
    routing::CompletionRequest request,
    routing::TokenSink sink) -> boost::asio::awaitable<DispatchResult> {
  const auto id = request.id;
  const auto start = clock_();
  auto last = start;
  auto first = true;
  const auto on_token = [&](const routing::Token& token) {
    const auto now = clock_();
    (first ? first_token_ : inter_token_).Record(ToMilliseconds(now - last));
    last = now;
    tokens_.Add();
    sink(token);
    if (first || token.offset % kProgressStep == 0) {
      replica_dispatcher->OnResponse(now);
    }
    if (first) {
      replica_dispatcher->Apply([&id](routing::Dispatcher& dispatcher) {
        return dispatcher.FirstToken(id);
      });
    } else if (token.offset % kProgressStep == 0) {
      replica_dispatcher->Apply([&](routing::Dispatcher& dispatcher) {
        return dispatcher.TokenProgress(id, token.offset + 1);
      });
    }
    first = false;
  };
  const auto on_start = [&](std::shared_ptr<upstream::StreamHandle> stream) {
    waiter->stream = std::move(stream);
    if (waiter->cancelled || waiter->preempted) {
      waiter->CancelStream();
    }
  };
  replica_dispatcher->Apply([&id](routing::Dispatcher& dispatcher) {
    dispatcher.Started(id);
    return routing::Dispatcher::Actions();
  });
  const auto end = co_await pool_.current().engine().Stream(
      replica_dispatcher->address(), std::move(request), on_start, on_token);
  waiter->stream.reset();
  if (end.kind == StreamEnd::Kind::kLost ||
      end.kind == StreamEnd::Kind::kRefused) {
    replica_dispatcher->OnFailure();
  }
  replica_dispatcher->Apply([&](routing::Dispatcher& dispatcher) {
    return dispatcher.Finished(id, UpstreamEndOf(end.kind));
  });
  if (waiter->preempted) {
    preemptions_.Add();
  }
  co_return ResultOf(end, waiter->preempted);
}

auto DispatchService::OnLoadReport(const ReplicaId& replica,
                                   const upstream::LoadReport& report) -> void {
  const auto replica_dispatcher = FindDispatcher(replica);
  if (!replica_dispatcher) {
    return;
  }
  replica_dispatcher->OnResponse(clock_());
  replica_dispatcher->Apply([&report](routing::Dispatcher& dispatcher) {
    return dispatcher.LoadReport({.running = report.running,
                                  .waiting = report.waiting,
                                  .capacity = report.capacity,
                                  .kv_used = report.kv_used});
  });
  if (on_load_) {
    on_load_(replica_dispatcher->load(clock_()));
  }
}

auto DispatchService::OnLoadReportFailed(const ReplicaId& replica) -> void {
  const auto replica_dispatcher = FindDispatcher(replica);
  if (!replica_dispatcher) {
    return;
  }
  replica_dispatcher->OnFailure();
  if (on_load_ && replica_dispatcher->down(clock_())) {
    on_load_(replica_dispatcher->load(clock_()));
  }
}

auto DispatchService::OnTick() -> void {
  for (const auto& replica_dispatcher : AllDispatchers()) {
    replica_dispatcher->Apply(
        [](routing::Dispatcher& dispatcher) { return dispatcher.Tick(); });
  }
}

auto DispatchService::loads() const -> std::vector<routing::ReplicaLoad> {
  auto loads = std::vector<routing::ReplicaLoad>();
  for (const auto& replica_dispatcher : AllDispatchers()) {
    loads.push_back(replica_dispatcher->load(clock_()));
  }
  return loads;
}

auto DispatchService::in_flight() const -> std::size_t {
  auto total = std::size_t{0};
  for (const auto& replica_dispatcher : AllDispatchers()) {
    total += replica_dispatcher->in_flight();
  }
  return total;
}

}  // namespace kumquatgauge::daemon
