#include "kumquatgauge/serving/forwarder.h"

#include <algorithm>
#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cstdio>
#include <map>
#include <utility>

#include "kumquatgauge/base/error.h"
#include "kumquatgauge/base/log.h"
#include "kumquatgauge/serving/attempt_policy.h"
#include "kumquatgauge/serving/event_splitter.h"
#include "kumquatgauge/serving/room_forecast.h"
#include "kumquatgauge/serving/waiting_line.h"

namespace kumquatgauge::serving {
namespace {

namespace asio = boost::asio;
using asio::awaitable;
using caller::ResponseWriter;
using routing::WorkClass;
using std::chrono::milliseconds;
using upstream::CallEnd;

constexpr auto kAwaitTuple = asio::as_tuple(asio::use_awaitable);
constexpr int kOk = 200;
constexpr int kMultipleChoices = 300;
constexpr int kBadGateway = 502;
constexpr int kServiceUnavailable = 503;
constexpr int kGatewayTimeout = 504;
// Part of the latency target that a request waits for room before it is
// refused. A caller that is told early has time to come back and still be
// served on time.
constexpr double kWaitShare = 0.2;
// Silence after which an answer that may be repeated is taken elsewhere, in
// latency targets and in longest gaps. Long enough that the ordinary queue of a
// replica does not count, short enough that callers do not give up first.
constexpr double kHeadSilenceTargets = 2.5;
constexpr double kGapSilenceGaps = 2.0;
constexpr milliseconds kLeastSilence{400};
// Where a route sets no limit.
constexpr milliseconds kDefaultTimeLimit{60'000};
constexpr std::size_t kMaxBufferedAnswer = 8'000'000;
// With no replica known, an entry may appear with the next heartbeats.
constexpr milliseconds kNoReplicaRetry{500};

auto ToMilliseconds(Duration duration) -> milliseconds {
  return std::chrono::duration_cast<milliseconds>(duration);
}

auto Text(Duration duration) -> std::string {
  return std::to_string(ToMilliseconds(duration).count());
}

// One request on its way through this node.
struct Passage {
  std::shared_ptr<const caller::IncomingRequest> incoming;
  CallerRequest request;
  std::shared_ptr<const Configuration> configuration;
  const Route* route = nullptr;
  std::shared_ptr<ResponseWriter> writer;
  ServiceName service;
  MonotonicTime deadline;

  AttemptHistory history;
  std::vector<ReplicaId> tried;
  Choice choice;  // Of the last attempt.
  std::uint64_t last_event = 0;
  Duration first_event{0};  // From the arrival.
  Duration waited{0};

  // The answer of the last attempt, unless it was relayed as it came.
  upstream::ReplicaHead head;
  std::string body;

  std::shared_ptr<upstream::ReplicaCaller::Call> call;
};

using PassagePtr = std::shared_ptr<Passage>;

auto IsEventStream(const Passage& passage) -> bool {
  return passage.route->kind == RequestKind::kStream &&
         passage.head.status == kOk &&
         FindHeader(passage.head.headers, "Content-Type")
             .starts_with("text/event-stream");
}

}  // namespace

auto Refuse(std::shared_ptr<ResponseWriter> writer,
            int status,
            std::string reason,
            milliseconds retry_after) -> awaitable<void> {
  constexpr double kMillisecondsPerSecond = 1'000.0;
  auto headers = HeaderList{{"Content-Type", "text/plain"}};
  if (retry_after > milliseconds::zero()) {
    auto text = std::array<char, 32>();
    std::snprintf(
        text.data(), text.size(), "%.3f",
        static_cast<double>(retry_after.count()) / kMillisecondsPerSecond);
    headers.push_back({"Retry-After", text.data()});
  }
  reason += "\n";
  co_await writer->Send(status, std::move(headers), std::move(reason));
}

class Forwarder::Impl : public std::enable_shared_from_this<Impl> {
 public:
  explicit Impl(ForwarderParts parts)
      : parts_(std::move(parts)),
        completed_(parts_.metrics.counter(
            "kqg_requests_total{outcome=\"completed\"}")),
        refused_(
            parts_.metrics.counter("kqg_requests_total{outcome=\"not_run\"}")),
        unknown_(
            parts_.metrics.counter("kqg_requests_total{outcome=\"unknown\"}")),
        timed_out_(parts_.metrics.counter(
            "kqg_requests_total{outcome=\"timed_out\"}")),
        broken_off_(parts_.metrics.counter(
            "kqg_requests_total{outcome=\"broken_off\"}")),
        cancelled_(parts_.metrics.counter(
            "kqg_requests_total{outcome=\"cancelled\"}")),
        attempts_(parts_.metrics.counter("kqg_attempts_total")),
        first_ms_(parts_.metrics.histogram("kqg_first_byte_latency_seconds")),
        total_ms_(parts_.metrics.histogram("kqg_request_latency_seconds")),
        wait_ms_(parts_.metrics.histogram("kqg_room_wait_seconds")) {}

  auto Handle(PassagePtr passage) -> awaitable<void> {
    const auto self = shared_from_this();
    Prepare(*passage);
    parts_.retry_budget.OnRequest(passage->service);
    while (true) {
      co_await Place(passage);
      if (!passage->choice.replica) {
        co_await EndWithoutReplica(passage);
        co_return;
      }
      const auto attempt = co_await Attempt(passage);
      const auto decision = Judge(*passage, attempt);
      if (decision.step == NextStep::kRetry) {
        continue;
      }
      co_await Finish(passage, attempt, decision);
      co_return;
    }
  }

  auto OnRoom() -> void {
    for (const auto& [service, count] : waiting_services_) {
      const auto first = line_.First(service);
      if (first) {
        const auto waiter = waiters_.find(*first);
        if (waiter != waiters_.end()) {
          waiter->second->cancel();
        }
      }
    }
  }

 private:
  auto Prepare(Passage& passage) -> void {
    const auto& route = *passage.route;
    passage.service = PickService(route, parts_.random());
    auto limit = route.time_limit;
    const auto callers = passage.request.time_limit;
    if (limit <= milliseconds::zero() ||
        (callers > milliseconds::zero() && callers < limit)) {
      limit = callers;
    }
    if (limit <= milliseconds::zero()) {
      limit = kDefaultTimeLimit;
    }
    passage.deadline = passage.incoming->arrived + limit;
    passage.last_event = passage.request.resume_after;
    passage.history.kind = route.kind;
    passage.history.resumable = route.resumable;
    passage.history.max_attempts = route.max_attempts;
  }

  auto MakeChoiceRequest(const Passage& passage) const -> ChoiceRequest {
    auto request = ChoiceRequest();
    request.service = passage.service;
    request.latency_target = passage.route->latency_target;
    request.affinity = passage.request.affinity;
    request.tried = passage.tried;
    // After an attempt that may have run a refusal would not be true, and an
    // answer that comes late is worth more than none.
    request.even_if_full =
        passage.history.answer_begun || passage.history.may_have_run > 0;
    return request;
  }

  static auto HasRoom(const Choice& choice) -> bool {
    return choice.room == Room::kFree || choice.room == Room::kQueued;
  }

  // Chooses a replica, waiting briefly for room. Leaves no replica in the
  // choice when there is none in time.
  auto Place(PassagePtr passage) -> awaitable<void> {
    const auto request = MakeChoiceRequest(*passage);
    const auto began = parts_.clock();
    auto patience = std::chrono::duration_cast<Duration>(
        passage->route->latency_target * kWaitShare);
    const auto start_by = passage->incoming->arrived + patience;
    const auto urgency = Urgency{passage->route->rank, start_by};
    auto ticket = std::optional<WaitingLine::Ticket>();
    while (true) {
      const auto behind = !ticket && line_.MustWait(passage->service, urgency);
      passage->choice = parts_.picture.Choose(request);
      if (passage->choice.room != Room::kFree &&
          parts_.make_room(passage->service)) {
        passage->choice = parts_.picture.Choose(request);
      }
      const auto placed = HasRoom(passage->choice) && !behind;
      const auto hopeless = passage->choice.room == Room::kNoReplica;
      if (placed || hopeless || passage->writer->gone() ||
          parts_.clock() >= start_by) {
        break;
      }
      if (!ticket) {
        ticket = line_.Join(passage->service, urgency);
        ++waiting_services_[passage->service];
      }
      co_await WaitForRoom(*ticket, start_by);
    }
    if (ticket) {
      line_.Leave(passage->service, *ticket);
      if (--waiting_services_[passage->service] == 0) {
        waiting_services_.erase(passage->service);
      }
    }
    passage->waited += parts_.clock() - began;
    wait_ms_.Record(
        static_cast<double>(ToMilliseconds(parts_.clock() - began).count()));
    if (!HasRoom(passage->choice)) {
      passage->choice.replica.reset();
      forecast_.OnFull(passage->service, parts_.clock());
    }
    if (ticket) {
      OnRoom();
    }
  }

  auto WaitForRoom(WaitingLine::Ticket ticket, MonotonicTime until)
      -> awaitable<void> {
    auto timer = std::make_shared<asio::steady_timer>(parts_.executor, until);
    waiters_[ticket] = timer;
    co_await timer->async_wait(kAwaitTuple);
    waiters_.erase(ticket);
  }

  auto Attempt(PassagePtr passage) -> awaitable<AttemptEnd> {
    const auto& chosen = passage->choice.replica;
    if (!chosen) {
      co_return AttemptEnd();
    }
    const auto replica = *chosen;
    passage->tried.push_back(replica.id);
    ++passage->history.attempts;
    attempts_.Add();
    parts_.picture.OnStarted(replica.id, WorkClass::kOnline);
    parts_.counts_changed();
    const auto began = parts_.clock();
    passage->call = parts_.replicas.Start(MakeReplicaRequest(*passage, replica),
                                          MakeFilter(*passage));
    passage->writer->OnGone([call = passage->call] { call->Cancel(); });
    auto attempt = AttemptEnd();
    attempt.end = passage->writer->gone() ? CallEnd::kCancelled
                                          : co_await passage->call->Open();
    if (attempt.end == CallEnd::kOpen) {
      passage->head = passage->call->head();
      attempt.status = passage->head.status;
      Learn(*passage, replica.id, attempt);
      attempt.end = co_await ReadAnswer(passage, began);
    }
    attempt.bytes_sent = passage->call->bytes_sent();
    EndAttempt(*passage, replica, attempt, parts_.clock() - began);
    co_return attempt;
  }

  auto MakeReplicaRequest(const Passage& passage,
                          const routing::Replica& replica)
      -> upstream::ReplicaRequest {
    const auto& route = *passage.route;
    auto request = upstream::ReplicaRequest();
    request.address = replica.address;
    request.method = passage.incoming->method;
    request.target = passage.incoming->target;
    auto delivery = Delivery();
    delivery.replica = replica.id;
    delivery.time_left = std::max(
        milliseconds(1), ToMilliseconds(passage.deadline - parts_.clock()));
    delivery.resume_after = passage.last_event;
    request.headers =
        parts_.dialect.encode_delivery(passage.incoming->headers, delivery);
    request.body = passage.incoming->body;
    const auto& history = passage.history;
    if (MayRepeat(route.kind, route.resumable) &&
        history.max_attempts > history.may_have_run) {
      request.max_sends = history.max_attempts - history.may_have_run;
    }
    request.deadline = passage.deadline;
    SetSilence(passage, request);
    return request;
  }

  // A replica that falls silent is only given up while another attempt is
  // possible; otherwise its answer may still come.
  auto SetSilence(const Passage& passage, upstream::ReplicaRequest& request)
      -> void {
    const auto& route = *passage.route;
    const auto& history = passage.history;
    const auto forever = passage.deadline - parts_.clock();
    request.head_silence = forever;
    request.body_silence = forever;
    if (!MayRepeat(history.kind, history.resumable) ||
        history.may_have_run + 1 >= history.max_attempts ||
        parts_.retry_budget.available(passage.service) < 1.0) {
      return;
    }
    const auto head = std::chrono::duration_cast<Duration>(
        route.latency_target * kHeadSilenceTargets);
    const auto gap = std::chrono::duration_cast<Duration>(route.longest_gap *
                                                          kGapSilenceGaps);
    request.head_silence = std::max<Duration>(kLeastSilence, head);
    if (route.kind == RequestKind::kStream) {
      request.body_silence = std::max<Duration>(request.head_silence, gap);
    }
  }

  auto MakeFilter(const Passage& passage) -> upstream::HeadFilter {
    return [&dialect = parts_.dialect,
            id = passage.request.id](const upstream::ReplicaHead& head) {
      const auto facts = dialect.decode_answer(head.status, head.headers);
      // Refusals of requests that were not understood name none.
      const auto unnamed =
          facts.request_id.empty() && head.status >= kMultipleChoices;
      return unnamed || facts.request_id == id.value();
    };
  }

  auto Learn(const Passage& passage,
             const ReplicaId& replica,
             AttemptEnd& attempt) -> void {
    const auto facts =
        parts_.dialect.decode_answer(passage.head.status, passage.head.headers);
    attempt.not_run = facts.not_run || facts.wrong_replica;
    if (facts.has_load) {
      parts_.picture.OnReport(replica, facts.running, facts.waiting);
    }
    if (facts.wrong_replica) {
      parts_.picture.MarkGone(replica);
    } else if (facts.not_run) {
      parts_.picture.OnRefused(replica);
    }
  }

  auto ReadAnswer(PassagePtr passage, MonotonicTime began)
      -> awaitable<CallEnd> {
    passage->body.clear();
    if (IsEventStream(*passage)) {
      co_return co_await RelayEvents(passage, began);
    }
    auto end = CallEnd::kOpen;
    while (end == CallEnd::kOpen) {
      end = co_await passage->call->Read(passage->body);
      if (passage->body.size() > kMaxBufferedAnswer) {
        co_return CallEnd::kMalformed;
      }
    }
    if (end == CallEnd::kComplete && passage->head.status < kMultipleChoices) {
      NoteFirst(*passage, began);
    }
    co_return end;
  }

  // Passes whole events on as they arrive. The head goes out with the first
  // one, so that an attempt which brings none leaves the answer open.
  auto RelayEvents(PassagePtr passage, MonotonicTime began)
      -> awaitable<CallEnd> {
    auto splitter = EventSplitter();
    auto end = CallEnd::kOpen;
    while (end == CallEnd::kOpen) {
      auto bytes = std::string();
      end = co_await passage->call->Read(bytes);
      auto piece = std::string();
      const auto fits = splitter.Feed(bytes, [&](const Event& event) {
        if (event.id != 0 && event.id <= passage->last_event) {
          return;  // The caller has it from an earlier attempt.
        }
        passage->last_event = std::max(passage->last_event, event.id);
        piece.append(event.raw);
      });
      if (!fits) {
        co_return CallEnd::kMalformed;
      }
      if (!piece.empty() &&
          !co_await WriteEvents(passage, std::move(piece), began)) {
        passage->call->Cancel();
        co_return CallEnd::kCancelled;
      }
    }
    if (end == CallEnd::kComplete && !splitter.rest().empty()) {
      co_return CallEnd::kBroken;  // It stopped inside an event.
    }
    co_return end;
  }

  auto WriteEvents(PassagePtr passage, std::string piece, MonotonicTime began)
      -> awaitable<bool> {
    if (!passage->history.answer_begun) {
      NoteFirst(*passage, began);
      passage->history.answer_begun = true;
      auto headers = parts_.dialect.answer_headers(passage->head.headers);
      const auto begun =
          co_await passage->writer->BeginStream(kOk, std::move(headers));
      if (!begun) {
        co_return false;
      }
    }
    co_return co_await passage->writer->WritePiece(std::move(piece));
  }

  auto NoteFirst(Passage& passage, MonotonicTime began) -> void {
    const auto now = parts_.clock();
    passage.first_event = now - passage.incoming->arrived;
    first_ms_.Record(
        static_cast<double>(ToMilliseconds(passage.first_event).count()));
    parts_.picture.OnSuccess(passage.tried.back(), now - began);
  }

  auto EndAttempt(Passage& passage,
                  const routing::Replica& replica,
                  const AttemptEnd& attempt,
                  Duration held) -> void {
    const auto sends = passage.call->sends();
    passage.call.reset();
    passage.writer->OnGone(nullptr);
    parts_.picture.OnEnded(replica.id, WorkClass::kOnline);
    parts_.counts_changed();
    const auto not_run = attempt.not_run || !attempt.bytes_sent;
    // Before a last send that the replica refused, an earlier one may have run.
    passage.history.may_have_run +=
        not_run ? (sends > 0 ? sends - 1 : 0) : sends;
    const auto failed =
        attempt.end == CallEnd::kBroken || attempt.end == CallEnd::kMalformed ||
        attempt.end == CallEnd::kSilent || attempt.end == CallEnd::kNotSent;
    if (failed) {
      parts_.picture.OnFailure(replica.id);
    } else if (attempt.end == CallEnd::kComplete && !not_run) {
      parts_.picture.OnHeld(replica.service, held);
    }
    if (failed || not_run) {
      logger_.Info("an attempt failed",
                   {{"event", "attempt_failed"},
                    {"request", passage.request.id.value()},
                    {"replica", replica.id.value()},
                    {"end", std::string(upstream::CallEndName(attempt.end))},
                    {"status", std::to_string(attempt.status)},
                    {"not_run", not_run ? "true" : "false"},
                    {"last_event", std::to_string(passage.last_event)},
                    {"held_ms", Text(held)}});
    }
    OnRoom();
  }

  auto Judge(Passage& passage, const AttemptEnd& attempt) -> NextStepDecision {
    auto& history = passage.history;
    history.time_left = passage.deadline - parts_.clock();
    history.retry_allowed =
        parts_.retry_budget.available(passage.service) >= 1.0;
    const auto decision = DecideNextStep(history, attempt);
    const auto ran = !attempt.not_run && attempt.bytes_sent;
    if (decision.step == NextStep::kRetry && ran) {
      parts_.retry_budget.TryRetry(passage.service);
    }
    return decision;
  }

  auto Finish(PassagePtr passage, AttemptEnd attempt, NextStepDecision decision)
      -> awaitable<void> {
    auto& writer = *passage->writer;
    auto status = passage->head.status;
    switch (decision.step) {
      case NextStep::kDeliver:
        if (passage->history.answer_begun) {
          co_await writer.FinishStream();
        } else {
          auto headers = parts_.dialect.answer_headers(passage->head.headers);
          co_await writer.Send(status, std::move(headers),
                               std::move(passage->body));
        }
        completed_.Add();
        break;
      case NextStep::kRetry:
        break;
      case NextStep::kRefuse:
        status = kServiceUnavailable;
        co_await EndRefused(passage, std::string(decision.reason));
        co_return;
      case NextStep::kUnknown:
        status = kBadGateway;
        unknown_.Add();
        co_await Fail(passage, status, std::string(decision.reason));
        break;
      case NextStep::kTimedOut:
        status = kGatewayTimeout;
        timed_out_.Add();
        co_await Fail(passage, status, std::string(decision.reason));
        break;
      case NextStep::kBreakOff:
        status = 0;
        (attempt.end == CallEnd::kCancelled ? cancelled_ : broken_off_).Add();
        break;
    }
    LogEnd(*passage, status, decision.reason);
  }

  static auto Fail(PassagePtr passage, int status, std::string reason)
      -> awaitable<void> {
    co_await Refuse(passage->writer, status, std::move(reason),
                    milliseconds::zero());
  }

  auto EndWithoutReplica(PassagePtr passage) -> awaitable<void> {
    if (passage->writer->gone() || passage->history.answer_begun) {
      (passage->writer->gone() ? cancelled_ : broken_off_).Add();
      LogEnd(*passage, 0, "no replica can go on");
      co_return;
    }
    if (passage->history.may_have_run > 0) {
      unknown_.Add();
      co_await Fail(passage, kBadGateway, "an earlier attempt may have run");
      LogEnd(*passage, kBadGateway, "no replica left; it may have run");
      co_return;
    }
    co_await EndRefused(passage, passage->choice.room == Room::kNoReplica
                                     ? "no replica is known"
                                     : "all replicas are full");
  }

  auto EndRefused(PassagePtr passage, std::string reason) -> awaitable<void> {
    refused_.Add();
    const auto retry_after = RetryAfter(*passage);
    auto text = reason;
    co_await Refuse(passage->writer, kServiceUnavailable, std::move(text),
                    retry_after);
    LogEnd(*passage, kServiceUnavailable, reason);
  }

  auto RetryAfter(const Passage& passage) -> milliseconds {
    if (passage.choice.room == Room::kNoReplica) {
      return kNoReplicaRetry;
    }
    constexpr std::uint64_t kSteps = 1'000;
    const auto draw = static_cast<double>(parts_.random() % kSteps) / kSteps;
    const auto now = parts_.clock();
    return ToMilliseconds(forecast_.ComeBackAfter(
        passage.service, now, parts_.picture.mean_hold(passage.service),
        passage.deadline - now, draw));
  }

  auto LogEnd(const Passage& passage, int status, std::string_view reason)
      -> void {
    const auto total = parts_.clock() - passage.incoming->arrived;
    total_ms_.Record(static_cast<double>(ToMilliseconds(total).count()));
    const auto& choice = passage.choice;
    logger_.Info(
        "a request ended",
        {{"event", "request_ended"},
         {"request", passage.request.id.value()},
         {"status", std::to_string(status)},
         {"reason", std::string(reason)},
         {"route", passage.route->name},
         {"configuration", std::to_string(passage.configuration->version)},
         {"service", passage.service.value()},
         {"replica", passage.tried.empty() ? "" : passage.tried.back().value()},
         {"attempts", std::to_string(passage.history.attempts)},
         {"in_flight", std::to_string(choice.in_flight)},
         {"slots", std::to_string(choice.slots)},
         {"report_age_ms", Text(choice.report_age)},
         {"candidates", std::to_string(choice.candidates)},
         {"waited_ms", Text(passage.waited)},
         {"first_ms", Text(passage.first_event)},
         {"total_ms", Text(total)},
         {"time_left_ms", Text(passage.deadline - parts_.clock())}});
  }

  ForwarderParts parts_;
  Logger logger_{"forward"};
  WaitingLine line_;
  RoomForecast forecast_{RoomForecastSettings()};
  std::map<WaitingLine::Ticket, std::shared_ptr<asio::steady_timer>> waiters_;
  std::map<ServiceName, std::uint32_t> waiting_services_;
  Counter& completed_;
  Counter& refused_;
  Counter& unknown_;
  Counter& timed_out_;
  Counter& broken_off_;
  Counter& cancelled_;
  Counter& attempts_;
  LatencyHistogram& first_ms_;
  LatencyHistogram& total_ms_;
  LatencyHistogram& wait_ms_;
};

Forwarder::Forwarder(ForwarderParts parts)
    : impl_(std::make_shared<Impl>(std::move(parts))) {}

Forwarder::~Forwarder() = default;

auto Forwarder::Handle(std::shared_ptr<const caller::IncomingRequest> incoming,
                       CallerRequest request,
                       std::shared_ptr<const Configuration> configuration,
                       const Route* route,
                       std::shared_ptr<ResponseWriter> writer)
    -> awaitable<void> {
  auto passage = std::make_shared<Passage>();
  passage->incoming = std::move(incoming);
  passage->request = std::move(request);
  passage->configuration = std::move(configuration);
  passage->route = route;
  passage->writer = std::move(writer);
  return impl_->Handle(std::move(passage));
}

auto Forwarder::OnRoom() -> void {
  impl_->OnRoom();
}

}  // namespace kumquatgauge::serving
