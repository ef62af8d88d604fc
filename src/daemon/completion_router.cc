#include "kumquatgauge/daemon/completion_router.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>
#include <utility>

#include "kumquatgauge/base/error.h"
#include "kumquatgauge/node/message.h"

namespace kumquatgauge::daemon {
namespace {

using routing::CompletionRequest;
using routing::DispatchResult;
using routing::WorkClass;

// Longest silence of a dispatcher within a stream. Lost connections are found
// by PING within 1.5 s; this bounds a dispatcher that is alive but stuck.
constexpr auto kPeerSilence = std::chrono::seconds(20);
// When to come back if a service has no replica to offer.
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

auto Pause(Duration duration) -> boost::asio::awaitable<void> {
  auto timer = boost::asio::steady_timer(
      co_await boost::asio::this_coro::executor, duration);
  auto ignored = boost::system::error_code();
  co_await timer.async_wait(
      boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
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

auto CompletionRouter::Complete(CompletionRequest request,
                                routing::TokenSink sink,
                                std::shared_ptr<node::StreamCancel> cancel)
    -> boost::asio::awaitable<CompletionEnd> {
  const auto start = clock_();
  const auto deadline = start + request.time_left;
  const auto id = request.id;
  auto progress = Progress{.next_offset = request.resume_offset,
                           .text = request.resume_text,
                           .first_token = {}};
  // Drops what an earlier attempt has already delivered.
  const auto deliver = [&](const routing::Token& token) {
    if (token.offset != progress.next_offset) {
      return;
    }
    ++progress.next_offset;
    progress.text += token.text;
    if (!progress.first_token) {
      progress.first_token = clock_();
      online_first_token_.Record(ToMilliseconds(*progress.first_token - start));
    }
    sink(token);
  };
  auto trace = RequestTrace{.id = id,
                            .organisation = request.organisation,
                            .service = request.service,
                            .kind = "completion"};
  auto state = routing::RetryState();
  state.service = request.service;
  auto route_request = routing::RouteRequest{.service = request.service,
                                             .affinity = request.affinity};
  auto lost_dispatchers = std::vector<NodeId>();
  auto end = CompletionEnd();
  table_.OnRequest(request.service);
  for (auto attempt = 1;; ++attempt) {
    auto explanation = routing::RouteExplanation();
    const auto route =
        table_.Choose(route_request, WorkClass::kOnline, explanation);
    auto attempt_end = AttemptEnd();
    const auto attempt_start = clock_();
    auto traced = TracedAttempt{.explanation = explanation};
    if (!route) {
      attempt_end.result = BusyResult(
          "no replica of service " + request.service.value() + " is available");
      traced.result = "no replica";
    } else {
      request.id = RequestId(id.value() + "#" + std::to_string(attempt));
      request.resume_offset = progress.next_offset;
      request.resume_text = progress.text;
      request.time_left = TimeLeft(deadline, attempt_start);
      // A dispatcher that cannot be reached is bypassed: a second dispatcher
      // costs capacity only.
      const auto direct =
          !route->dispatcher ||
          std::find(lost_dispatchers.begin(), lost_dispatchers.end(),
                    route->dispatcher->id) != lost_dispatchers.end();
      traced.replica = route->replica.id;
      traced.dispatcher = direct ? self_ : route->dispatcher->id;
      attempt_end = co_await Attempt(request, *route, direct, deliver, cancel);
      Judge(*route, attempt_end, attempt_start, progress);
      if (attempt_end.dispatcher_lost) {
        lost_dispatchers.push_back(route->dispatcher->id);
      } else {
        route_request.tried.push_back(route->replica.id);
      }
      traced.result = ResultName(attempt_end.result.kind);
    }
    traced.milliseconds = ToMilliseconds(clock_() - attempt_start);
    if (cancel && cancel->cancelled()) {
      trace.attempts.push_back(std::move(traced));
      end = CancelledEnd(progress.next_offset);
      break;
    }
    if (attempt_end.result.kind == DispatchResult::Kind::kEnded) {
      trace.attempts.push_back(std::move(traced));
      end = {.outcome = attempt_end.result.outcome,
             .finish_reason = attempt_end.result.finish_reason};
      break;
    }
    state.time_left = deadline - clock_();
    state.can_resume = !route || route->replica.can_resume;
    auto decision = routing::RetryDecision();
    if (route) {
      decision = table_.DecideRetry(state, attempt_end.result);
    } else {
      decision.outcome = attempt_end.result.outcome;
      decision.reason = "no other replica";
    }
    traced.retry_reason = decision.reason;
    trace.attempts.push_back(std::move(traced));
    if (!decision.retry) {
      end.outcome = decision.outcome;
      // Tokens were delivered, so the request has run.
      if (progress.next_offset > 0 &&
          end.outcome.kind == OutcomeKind::kNotRun) {
        end.outcome.kind = OutcomeKind::kFailed;
      }
      break;
    }
    retries_.Add();
    if (attempt_end.result.kind == DispatchResult::Kind::kBusy) {
      ++state.busy_retries;
      state.least_retry_after =
          std::min(state.least_retry_after.value_or(
                       attempt_end.result.outcome.retry_after),
                   attempt_end.result.outcome.retry_after);
    } else {
      ++state.lost_retries;
    }
    if (decision.delay > Duration::zero()) {
      co_await Pause(decision.delay);
    }
  }
  end.outcome.tokens = progress.next_offset;
  Finish(std::move(trace), end, start);
  co_return end;
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
                                             .alone = request.alone};
  if (!avoid.empty()) {
    route_request.tried.push_back(avoid);
  }
  auto explanation = routing::RouteExplanation();
  const auto route =
      table_.Choose(route_request, WorkClass::kBatch, explanation);
  if (!route) {
    attempt.dispatch = BusyResult("no replica has room for batch");
    co_return attempt;
  }
  const auto end =
      co_await Attempt(request, *route, !route->dispatcher, deliver, cancel);
  Judge(*route, end, start, progress);
  attempt.replica = route->replica.id;
  attempt.dispatch = end.result;
  attempt.dispatch.outcome.tokens = progress.next_offset;
  attempt.item_bad = end.result.kind == DispatchResult::Kind::kEnded &&
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
  if (direct || route.dispatcher->id == self_) {
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
  auto failure = std::optional<Error>();
  try {
    co_await pool_.current().peer().Call(route.dispatcher->node_address,
                                         channel, "dispatch", message, on_frame,
                                         kPeerSilence, cancel);
  } catch (const Error& error) {
    failure = error;
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
      "dispatcher " + route.dispatcher->id.value() +
          " was lost: " + (failure ? failure->what() : "stream ended"),
      tokens);
  co_return end;
}

auto CompletionRouter::Judge(const Route& route,
                             const AttemptEnd& attempt,
                             MonotonicTime start,
                             const Progress& progress) -> void {
  if (attempt.dispatcher_lost) {
    return;  // Says nothing about the replica.
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
