#include "kumquatgauge/daemon/completion_router.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/process_hooks.h"
#include "kumquatgauge/base/error.h"
#include "kumquatgauge/node/message.h"

namespace kumquatgauge::daemon {
namespace {

using kumquatgauge::detail::Pause;
using routing::CompletionRequest;
using routing::DispatchResult;
using routing::WorkClass;

// Longest time between two frames of a dispatcher. Lost connections are found
// by PING within 1.5 s; this limit is for a dispatcher that is alive but stuck.
constexpr auto kPeerFrameTimeout = std::chrono::seconds(20);
// When to retry if no replica of the service is available.
constexpr auto kNoReplicaRetryAfter = std::chrono::milliseconds(1000);

auto ToMilliseconds(Duration duration) -> double {
  return std::chrono::duration<double, std::milli>(duration).count();
}

auto ResultName(DispatchResult::Kind kind) -> std::string {
  switch (kind) {
    case DispatchResult::Kind::kEnded:
      return "ended";
    case DispatchResult::Kind::kBusy:
      return "busy";
    case DispatchResult::Kind::kPreempted:
      return "preempted";
    case DispatchResult::Kind::kLost:
      break;
  }
  return "lost";
}

auto LostResult(const std::string& reason, std::uint64_t tokens)
    -> DispatchResult {
  auto result = DispatchResult();
  result.kind = DispatchResult::Kind::kLost;
  result.outcome = {
      .kind = OutcomeKind::kFailed, .reason = reason, .tokens = tokens};
  return result;
}

auto BusyResult(const std::string& reason) -> DispatchResult {
  auto result = DispatchResult();
  result.kind = DispatchResult::Kind::kBusy;
  result.outcome = {.kind = OutcomeKind::kNotRun,
                    .reason = reason,
                    .retry_after = kNoReplicaRetryAfter};
  return result;
}

auto CancelledEnd(std::uint64_t tokens) -> CompletionEnd {
  return {.outcome = {.kind = OutcomeKind::kCancelled,
                      .reason = "cancelled by the caller",
                      .tokens = tokens},
          .finish_reason = {}};
}

auto TimeLeft(MonotonicTime deadline, MonotonicTime now)
    -> std::chrono::milliseconds {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      std::max(deadline - now, Duration::zero()));
}

}  // namespace

CompletionRouter::CompletionRouter(NodeId self,
                                   TrafficPool& pool,
                                   RoutingTable& table,
                                   DispatchService& dispatch,
                                   RequestTraces& traces,
                                   Clock clock,
                                   MetricsRegistry& metrics)
    : self_(std::move(self)),
      pool_(pool),
      table_(table),
      dispatch_(dispatch),
      traces_(traces),
      clock_(std::move(clock)),
      metrics_(metrics),
      online_first_token_(metrics.histogram("kqg_online_first_token_seconds")),
      online_total_(metrics.histogram("kqg_online_total_seconds")),
      retries_(metrics.counter("kqg_online_retries_total")) {}

// The state of one online request over all its attempts.
struct CompletionRouter::OnlineRun {
  CompletionRequest request;  // As sent in the current attempt.
  RequestId id;               // As the caller knows it.
  routing::TokenSink sink;
  std::shared_ptr<node::StreamCancel> cancel;
  MonotonicTime start;
  MonotonicTime deadline;
  Progress progress = {};
  RequestTrace trace = {};
  routing::RetryState state = {};
  routing::RouteRequest route_request = {};
  std::vector<NodeId> lost_dispatchers = {};

  auto cancelled() const -> bool { return cancel && cancel->cancelled(); }
};

auto CompletionRouter::Complete(CompletionRequest request,
                                routing::TokenSink sink,
                                std::shared_ptr<node::StreamCancel> cancel)
    -> boost::asio::awaitable<CompletionEnd> {
  auto run = OnlineRun{.request = std::move(request),
                       .id = {},
                       .sink = std::move(sink),
                       .cancel = std::move(cancel),
                       .start = clock_(),
                       .deadline = {}};
  run.id = run.request.id;
  run.deadline = run.start + run.request.time_left;
  run.trace.id = run.id;
  run.trace.organisation = run.request.organisation;
  run.trace.service = run.request.service;
  run.trace.kind = "completion";
  run.state.service = run.request.service;
  run.route_request.service = run.request.service;
  run.route_request.affinity = run.request.affinity;
  table_.OnRequest(run.request.service);
  auto end = std::optional<CompletionEnd>();
  while (!end) {
    end = co_await RunAttempt(run);
  }
  end->outcome.tokens = run.progress.next_offset;
  Finish(std::move(run.trace), *end, run.start);
  co_return *std::move(end);
}

auto CompletionRouter::RunAttempt(OnlineRun& run)
    -> boost::asio::awaitable<std::optional<CompletionEnd>> {
  const auto begin = clock_();
  auto traced = TracedAttempt();
  const auto route =
      table_.Choose(run.route_request, WorkClass::kOnline, traced.explanation);
  auto attempt = AttemptEnd();
  if (route) {
    const auto direct = MustBypassDispatcher(run, *route);
    traced.replica = route->replica.id;
    traced.dispatcher = direct ? self_ : route->dispatcher.id;
    PrepareRequest(run, begin);
    const auto deliver = [this, &run](const routing::Token& token) {
      Deliver(run, token);
    };
    attempt =
        co_await Attempt(run.request, *route, direct, deliver, run.cancel);
    RecordAttempt(*route, attempt, begin, run.progress);
    NoteTried(run, *route, attempt);
    run.state.can_resume = route->replica.can_resume;
    traced.result = ResultName(attempt.result.kind);
  } else {
    attempt.result = BusyResult("no replica of service " +
                                run.request.service.value() + " is available");
    traced.result = "no replica";
  }
  traced.milliseconds = ToMilliseconds(clock_() - begin);
  auto decision = DecideNext(run, route.has_value(), attempt);
  traced.retry_reason = decision.reason;
  run.trace.attempts.push_back(std::move(traced));
  if (run.cancelled()) {
    co_return CancelledEnd(run.progress.next_offset);
  }
  if (!decision.retry) {
    co_return EndOf(run, attempt, decision);
  }
  CountRetry(run, attempt);
  if (decision.delay > Duration::zero()) {
    co_await Pause(decision.delay);
  }
  co_return std::nullopt;
}

// A dispatcher that cannot be reached is bypassed. Two nodes that dispatch to
// the same replica cost only capacity.
auto CompletionRouter::MustBypassDispatcher(const OnlineRun& run,
                                            const Route& route) -> bool {
  return route.dispatcher.id.empty() ||
         std::find(run.lost_dispatchers.begin(), run.lost_dispatchers.end(),
                   route.dispatcher.id) != run.lost_dispatchers.end();
}

auto CompletionRouter::PrepareRequest(OnlineRun& run, MonotonicTime now)
    -> void {
  const auto attempt = run.trace.attempts.size() + 1;
  run.request.id = RequestId(run.id.value() + "#" + std::to_string(attempt));
  run.request.resume_offset = run.progress.next_offset;
  run.request.resume_text = run.progress.text;
  run.request.time_left = TimeLeft(run.deadline, now);
}

// Passes a token on unless an earlier attempt has already delivered it.
auto CompletionRouter::Deliver(OnlineRun& run, const routing::Token& token)
    -> void {
  auto& progress = run.progress;
  if (token.offset != progress.next_offset) {
    return;
  }
  ++progress.next_offset;
  progress.text += token.text;
  if (!progress.first_token) {
    progress.first_token = clock_();
    online_first_token_.Record(
        ToMilliseconds(*progress.first_token - run.start));
  }
  run.sink(token);
}

auto CompletionRouter::NoteTried(OnlineRun& run,
                                 const Route& route,
                                 const AttemptEnd& attempt) -> void {
  run.state.dispatcher_lost = attempt.dispatcher_lost;
  if (attempt.dispatcher_lost) {
    run.lost_dispatchers.push_back(route.dispatcher.id);
  } else {
    run.route_request.tried.push_back(route.replica.id);
  }
}

auto CompletionRouter::DecideNext(OnlineRun& run,
                                  bool routed,
                                  const AttemptEnd& attempt)
    -> routing::RetryDecision {
  auto decision = routing::RetryDecision();
  if (attempt.result.kind == DispatchResult::Kind::kEnded) {
    return decision;
  }
  run.state.time_left = run.deadline - clock_();
  run.state.response_started = run.progress.next_offset > 0;
  if (routed || run.state.response_started) {
    decision = table_.DecideRetry(run.state, attempt.result);
    if (!routed && decision.retry) {
      // All replicas were tried; one of them may have free capacity by now.
      run.route_request.tried.clear();
    }
    return decision;
  }
  decision.outcome = attempt.result.outcome;
  decision.reason = "no other replica";
  return decision;
}

auto CompletionRouter::EndOf(const OnlineRun& run,
                             const AttemptEnd& attempt,
                             const routing::RetryDecision& decision)
    -> CompletionEnd {
  if (attempt.result.kind == DispatchResult::Kind::kEnded) {
    return {.outcome = attempt.result.outcome,
            .finish_reason = attempt.result.finish_reason};
  }
  auto end = CompletionEnd{.outcome = decision.outcome};
  // Tokens were delivered, so the request has run.
  if (run.progress.next_offset > 0 &&
      end.outcome.kind == OutcomeKind::kNotRun) {
    end.outcome.kind = OutcomeKind::kFailed;
  }
  return end;
}

auto CompletionRouter::CountRetry(OnlineRun& run, const AttemptEnd& attempt)
    -> void {
  retries_.Add();
  auto& state = run.state;
  if (attempt.result.kind != DispatchResult::Kind::kBusy) {
    ++state.lost_retries;
    return;
  }
  ++state.busy_retries;
  const auto retry_after = attempt.result.outcome.retry_after;
  state.least_retry_after =
      std::min(state.least_retry_after.value_or(retry_after), retry_after);
}

auto CompletionRouter::RunBatchItem(CompletionRequest request,
                                    ReplicaId avoid,
                                    std::shared_ptr<node::StreamCancel> cancel)
    -> boost::asio::awaitable<batch::AttemptResult> {
  const auto start = clock_();
  auto attempt = batch::AttemptResult();
  attempt.text = request.resume_text;
  auto progress = Progress{
      .next_offset = request.resume_offset, .text = {}, .first_token = {}};
  const auto deliver = [&](const routing::Token& token) {
    if (token.offset == progress.next_offset) {
      ++progress.next_offset;
      attempt.text += token.text;
      progress.first_token = progress.first_token.value_or(clock_());
    }
  };
  auto route_request = routing::RouteRequest{.service = request.service,
                                             .affinity = request.affinity,
                                             .exclusive = request.exclusive};
  if (!avoid.empty()) {
    route_request.tried.push_back(avoid);
  }
  auto explanation = routing::RouteExplanation();
  const auto route =
      table_.Choose(route_request, WorkClass::kBatch, explanation);
  if (!route) {
    attempt.dispatch = BusyResult("no replica has a free batch slot");
    co_return attempt;
  }
  const auto end = co_await Attempt(
      request, *route, route->dispatcher.id.empty(), deliver, cancel);
  RecordAttempt(*route, end, start, progress);
  attempt.replica = route->replica.id;
  attempt.dispatch = end.result;
  attempt.dispatch.outcome.tokens = progress.next_offset;
  attempt.item_rejected = end.result.kind == DispatchResult::Kind::kEnded &&
                          end.result.finish_reason == routing::kFinishRejected;
  co_return attempt;
}

auto CompletionRouter::Attempt(const CompletionRequest& request,
                               const Route& route,
                               bool direct,
                               routing::TokenSink sink,
                               std::shared_ptr<node::StreamCancel> cancel)
    -> boost::asio::awaitable<AttemptEnd> {
  if (cancel && cancel->cancelled()) {
    auto end = AttemptEnd();
    end.result.outcome.kind = OutcomeKind::kCancelled;
    co_return end;
  }
  if (direct || route.dispatcher.id == self_) {
    auto end = AttemptEnd();
    end.result = co_await dispatch_.Run(request, route.replica.id,
                                        std::move(sink), std::move(cancel));
    co_return end;
  }
  co_return co_await AttemptOnPeer(request, route, std::move(sink),
                                   std::move(cancel));
}

auto CompletionRouter::AttemptOnPeer(const CompletionRequest& request,
                                     const Route& route,
                                     routing::TokenSink sink,
                                     std::shared_ptr<node::StreamCancel> cancel)
    -> boost::asio::awaitable<AttemptEnd> {
  auto message = nlohmann::json();
  message["replica"] = route.replica.id.value();
  message["request"] = node::ToMessage(request);
  auto end = AttemptEnd();
  auto ended = false;
  auto tokens = request.resume_offset;
  const auto on_frame = [&](const nlohmann::json& frame) {
    if (frame.contains("token")) {
      const auto token = node::TokenFrom(frame.at("token"));
      tokens = token.offset + 1;
      sink(token);
    } else if (frame.contains("end")) {
      end.result = node::DispatchResultFrom(frame.at("end"));
      ended = true;
    }
  };
  const auto channel = request.work_class == WorkClass::kOnline
                           ? node::Channel::kOnline
                           : node::Channel::kBatch;
  auto failure = std::string("stream ended");
  try {
    co_await pool_.current().peer().Call(route.dispatcher.node_address, channel,
                                         "dispatch", message, on_frame,
                                         kPeerFrameTimeout, cancel);
  } catch (const Error& error) {
    failure = error.what();
  }
  if (ended) {
    co_return end;
  }
  if (cancel && cancel->cancelled()) {
    end.result.kind = DispatchResult::Kind::kEnded;
    end.result.outcome = {.kind = OutcomeKind::kCancelled, .tokens = tokens};
    co_return end;
  }
  end.dispatcher_lost = true;
  end.result = LostResult(
      "dispatcher " + route.dispatcher.id.value() + " was lost: " + failure,
      tokens);
  co_return end;
}

auto CompletionRouter::RecordAttempt(const Route& route,
                                     const AttemptEnd& attempt,
                                     MonotonicTime start,
                                     const Progress& progress) -> void {
  if (attempt.dispatcher_lost) {
    return;  // The replica may be healthy.
  }
  const auto& result = attempt.result;
  if (!result.load.replica.empty()) {
    table_.OnLoad(result.load);
  }
  const auto failed = result.kind == DispatchResult::Kind::kLost ||
                      (result.kind == DispatchResult::Kind::kEnded &&
                       result.outcome.kind == OutcomeKind::kFailed &&
                       result.finish_reason != routing::kFinishRejected);
  if (failed) {
    table_.OnFailure(route.replica.id);
  } else if (result.kind == DispatchResult::Kind::kEnded &&
             result.outcome.kind == OutcomeKind::kCompleted &&
             progress.first_token) {
    table_.OnSuccess(route.replica.id, *progress.first_token - start);
  }
}

auto CompletionRouter::Finish(RequestTrace trace,
                              const CompletionEnd& end,
                              MonotonicTime start) -> void {
  trace.outcome = OutcomeKindName(end.outcome.kind);
  trace.reason = end.outcome.reason;
  trace.tokens = end.outcome.tokens;
  trace.milliseconds = ToMilliseconds(clock_() - start);
  online_total_.Record(trace.milliseconds);
  metrics_
      .counter("kqg_online_outcomes_total{outcome=\"" + trace.outcome + "\"}")
      .Add();
  traces_.Add(std::move(trace));
}

auto CompletionRouter::HandleDispatch(
    nlohmann::json request,
    std::shared_ptr<node::Responder> responder)
    -> boost::asio::awaitable<void> {
  auto completion = node::CompletionRequestFrom(request.at("request"));
  const auto replica = ReplicaId(request.at("replica").get<std::string>());
  const auto cancel = std::make_shared<node::StreamCancel>();
  responder->OnCancel([cancel] { cancel->Cancel(); });
  const auto sink = [responder, cancel](const routing::Token& token) {
    auto frame = nlohmann::json();
    frame["token"] = node::ToMessage(token);
    if (!responder->Send(frame)) {
      cancel->Cancel();
    }
  };
  const auto result =
      co_await dispatch_.Run(std::move(completion), replica, sink, cancel);
  auto frame = nlohmann::json();
  frame["end"] = node::ToMessage(result);
  responder->Send(frame);
}

}  // namespace kumquatgauge::daemon
