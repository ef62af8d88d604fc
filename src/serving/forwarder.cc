#include "kumquatgauge/serving/forwarder.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <map>
#include <set>
#include <utility>

#include "kumquatgauge/base/error.h"
#include "kumquatgauge/base/log.h"
#include "kumquatgauge/serving/admission_gate.h"
#include "kumquatgauge/serving/attempt_policy.h"
#include "kumquatgauge/serving/event_splitter.h"
#include "kumquatgauge/serving/request_fingerprint.h"

namespace kumquatgauge::serving {
namespace {

namespace asio = boost::asio;
using asio::awaitable;
using caller::ResponseWriter;
using routing::WorkClass;
using std::chrono::milliseconds;
using upstream::CallEnd;

constexpr int kOk = 200;
constexpr int kMultipleChoices = 300;
constexpr int kBadGateway = 502;
constexpr int kServiceUnavailable = 503;
constexpr int kGatewayTimeout = 504;
// Minimum time until a request that waits for a replica below its limit looks
// again.
constexpr milliseconds kMinStartWait{5};
// How long a request that may have run, and can no longer be refused, waits for
// a replica below its limit; less than the gap at which callers give up.
constexpr milliseconds kMaxContinuationWait{1'000};
// Silence timeouts of requests that may be repeated, as multiples of the
// latency target and of the longest gap between events. A request is sent to
// another replica after them. They exceed the ordinary queueing delay of a
// replica and are short enough that callers do not give up first.
constexpr double kHeadSilenceFactor = 2.5;
constexpr double kGapSilenceFactor = 2.0;
constexpr milliseconds kMinSilence{400};
// How long an event may take while its bytes arrive, as a multiple of the
// silence between events.
constexpr int kEventTimeFactor = 2;
// Used when neither the route nor the caller sets a time limit.
constexpr milliseconds kDefaultTimeLimit{60'000};
// Retry-After when no replica is known; one may register with the next
// heartbeats.
constexpr milliseconds kNoReplicaRetry{500};
// Retry-After in a planned stop; other nodes can serve the request at once.
constexpr milliseconds kStoppingRetry{20};

auto ToMilliseconds(Duration duration) -> milliseconds {
  return std::chrono::duration_cast<milliseconds>(duration);
}

auto Text(Duration duration) -> std::string {
  return std::to_string(ToMilliseconds(duration).count());
}

// A request that this node forwards, with the state of its attempts.
struct Exchange {
  std::shared_ptr<const caller::IncomingRequest> incoming;
  CallerRequest request;
  std::shared_ptr<const Configuration> configuration;
  const Route* route = nullptr;
  std::shared_ptr<ResponseWriter> writer;
  ServiceName service;
  MonotonicTime deadline;

  AttemptHistory history;
  AdmissionGate::Visit visit;
  std::vector<ReplicaId> tried;
  Choice choice;                           // Of the last attempt.
  RequestQuarantine::Admission admission;  // Of the last attempt.
  // Once there is something to suspect.
  std::optional<RequestFingerprint> fingerprint;
  bool attempt_answered = false;  // The last attempt has begun to answer.
  SilenceDetector::Ticket silence_ticket = 0;  // Of the last attempt.
  // The last attempt is abandoned since its replica is suspected to be silent;
  // the retry is taken from the budget.
  bool moving = false;
  bool limited = false;  // The replica of the last attempt had named a limit.
  bool leaving = false;  // It said in its answer that it leaves.
  std::string version;   // Of its software.
  // The version that began the stream, once it is known or the first event was
  // sent. Only replicas of this version can go on with it.
  std::optional<std::string> stream_version;
  std::uint64_t last_event = 0;
  Duration first_event{0};  // Since the request arrived.
  Duration waited{0};

  // The answer of the last attempt; without a body when it is relayed as a
  // stream.
  upstream::ReplicaHead head;
  std::unique_ptr<RelayMonitor::Answer> answer;
  std::uint64_t answer_bytes = 0;

  std::shared_ptr<upstream::ReplicaCaller::Call> call;
};

using ExchangePtr = std::shared_ptr<Exchange>;

auto IsEventStream(const Exchange& exchange) -> bool {
  return exchange.route->kind == RequestKind::kStream &&
         exchange.head.status == kOk &&
         FindHeader(exchange.head.headers, "Content-Type")
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
        limited_starts_(parts_.metrics.counter("kqg_limited_starts_total")),
        silence_moves_(parts_.metrics.counter("kqg_silence_moves_total")),
        first_ms_(parts_.metrics.histogram("kqg_first_byte_latency_seconds")),
        total_ms_(parts_.metrics.histogram("kqg_request_latency_seconds")),
        wait_ms_(parts_.metrics.histogram("kqg_room_wait_seconds")) {}

  auto Handle(ExchangePtr exchange) -> awaitable<void> {
    const auto self = shared_from_this();
    Prepare(*exchange);
    if (IsTooLate(*exchange)) {
      co_await EndTooLate(exchange);
      co_return;
    }
    exchange->visit =
        gate_.Arrive(exchange->request, *exchange->route, exchange->service,
                     exchange->incoming->arrived, exchange->deadline);
    exchanges_.insert(exchange);
    const auto under_way = std::shared_ptr<void>(
        nullptr, [self, exchange](void*) { self->exchanges_.erase(exchange); });
    parts_.retry_budget.OnRequest(exchange->service);
    co_await TryReplicas(exchange);
  }

  auto BeginStop(MonotonicTime last_start, MonotonicTime end) -> void {
    stop_ = Stop{last_start, end};
  }

  auto EndAll() -> void {
    const auto exchanges = exchanges_;
    for (const auto& exchange : exchanges) {
      exchange->history.stopping = true;
      if (exchange->call) {
        exchange->call->Cancel();
      }
    }
  }

  auto MoveSilent() -> void {
    const auto exchanges = exchanges_;
    for (const auto& exchange : exchanges) {
      if (MayMove(*exchange) &&
          parts_.retry_budget.TryRetry(exchange->service)) {
        silence_moves_.Add();
        exchange->moving = true;
        exchange->call->Cancel();
      }
    }
  }

  auto OnCapacityFreed() -> void { gate_.OnCapacityFreed(); }

 private:
  struct Stop {
    MonotonicTime last_start;
    MonotonicTime end;
  };

  // Whether this node may stop before it can answer the request. One that may
  // be repeated is sent to a replica early in the stop all the same: most are
  // answered long before their time limit.
  auto IsTooLate(const Exchange& exchange) const -> bool {
    return stop_ &&
           (exchange.incoming->arrived > stop_->last_start ||
            (exchange.deadline > stop_->end &&
             !MayRepeat(exchange.route->kind, exchange.route->resumable)));
  }

  // Whether the request is at a silent replica, may be repeated and could run
  // at another one.
  auto MayMove(const Exchange& exchange) const -> bool {
    const auto& history = exchange.history;
    return exchange.call && !exchange.moving && !history.stopping &&
           !exchange.writer->disconnected() &&
           MayRepeat(history.kind, history.resumable) &&
           history.may_have_run + exchange.call->sends() <
               history.max_attempts &&
           history.attempts < history.max_attempts + kMaxAttemptsNotRun &&
           exchange.deadline - parts_.clock() > kMinRetryTime &&
           parts_.load_balancer.silence_detector().ShouldMove(
               exchange.silence_ticket) &&
           parts_.load_balancer.CanMove(MakeChoiceRequest(exchange));
  }

  auto EndTooLate(ExchangePtr exchange) -> awaitable<void> {
    constexpr auto kReason = "this node stops";
    refused_.Add();
    parts_.not_run(exchange->request);
    co_await Refuse(exchange->writer, kServiceUnavailable, kReason,
                    kStoppingRetry);
    LogEnd(*exchange, kServiceUnavailable, kReason);
  }

  // Sends the request to replicas until it has ended.
  auto TryReplicas(ExchangePtr exchange) -> awaitable<void> {
    if (IsResumed(*exchange) && !co_await FindOrigin(exchange)) {
      co_await EndRefused(
          exchange, "the software version that began the stream is not known");
      co_return;
    }
    while (true) {
      exchange->admission = parts_.quarantine.Check(TraitsOf(*exchange));
      if (exchange->admission.allowed) {
        co_await ChooseReplica(exchange);
      }
      if (exchange->admission.allowed && exchange->choice.replica) {
        // A part may have been quarantined while the request waited.
        exchange->admission = parts_.quarantine.Admit(TraitsOf(*exchange));
      }
      if (!exchange->admission.allowed || !exchange->choice.replica) {
        co_await EndWithoutReplica(exchange);
        co_return;
      }
      const auto attempt = co_await Attempt(exchange);
      const auto decision = DecideAfterAttempt(*exchange, attempt);
      if (decision.step == NextStep::kRetry) {
        continue;
      }
      co_await Finish(exchange, attempt, decision);
      co_return;
    }
  }

  static auto IsResumed(const Exchange& exchange) -> bool {
    return exchange.route->kind == RequestKind::kStream &&
           exchange.request.resume_after > 0;
  }

  // Finds out which version began the stream that a caller takes up. Returns
  // whether it is known.
  auto FindOrigin(ExchangePtr exchange) -> awaitable<bool> {
    const auto stream = StreamOf(*exchange, exchange->request.resumes);
    const auto origin = co_await parts_.streams.Find(stream);
    if (!origin) {
      co_return false;
    }
    exchange->stream_version = origin->version;
    // Otherwise the route has been moved to another service.
    const auto& services = exchange->route->services;
    if (std::any_of(services.begin(), services.end(), [&](const auto& entry) {
          return entry.service == origin->service;
        })) {
      exchange->service = origin->service;
    }
    co_return true;
  }

  static auto StreamOf(const Exchange& exchange, const RequestId& request)
      -> CallerStream {
    auto stream = CallerStream();
    stream.key = StreamKeyOf(exchange.request.host, request);
    stream.service = exchange.service;
    return stream;
  }

  auto Prepare(Exchange& exchange) -> void {
    const auto& route = *exchange.route;
    exchange.service = PickService(route, parts_.random());
    auto limit = route.time_limit;
    const auto caller_limit = exchange.request.time_limit;
    if (limit <= milliseconds::zero() ||
        (caller_limit > milliseconds::zero() && caller_limit < limit)) {
      limit = caller_limit;
    }
    if (limit <= milliseconds::zero()) {
      limit = kDefaultTimeLimit;
    }
    exchange.deadline = exchange.incoming->arrived + limit;
    exchange.last_event = exchange.request.resume_after;
    exchange.history.kind = route.kind;
    exchange.history.resumable = route.resumable;
    exchange.history.max_attempts = route.max_attempts;
  }

  auto MakeChoiceRequest(const Exchange& exchange) const -> ChoiceRequest {
    auto request = ChoiceRequest();
    request.service = exchange.service;
    request.latency_target = exchange.route->latency_target;
    request.affinity = exchange.request.affinity;
    request.tried = exchange.tried;
    const auto& history = exchange.history;
    request.may_repeat = MayRepeat(history.kind, history.resumable) &&
                         history.may_have_run + 1 < history.max_attempts &&
                         parts_.retry_budget.available(exchange.service) >= 1.0;
    // After an attempt that may have run, the request can no longer be refused
    // as not run, and a late answer is better than none.
    request.version = exchange.stream_version;
    // Other replicas cannot go on with a stream, though they may have room.
    request.even_if_full = exchange.history.answer_begun ||
                           exchange.history.may_have_run > 0 ||
                           exchange.stream_version;
    return request;
  }

  static auto HasRoom(const Choice& choice) -> bool {
    return choice.availability == Availability::kFree ||
           choice.availability == Availability::kQueued;
  }

  // Chooses a replica, and waits briefly for a free slot if there is none.
  // Leaves the choice without a replica when none has capacity in time.
  auto ChooseReplica(ExchangePtr exchange) -> awaitable<void> {
    const auto request = MakeChoiceRequest(*exchange);
    const auto began = parts_.clock();
    auto& visit = exchange->visit;
    visit.request.service = exchange->service;
    auto has_room = false;
    while (true) {
      const auto must_queue = gate_.MustWait(visit);
      exchange->choice = parts_.load_balancer.Choose(request);
      YieldForOnline(*exchange, request);
      const auto& next_start = exchange->choice.next_start;
      const auto start_by =
          next_start && request.even_if_full
              ? std::min(exchange->deadline, began + kMaxContinuationWait)
              : visit.request.start_by;
      has_room = HasRoom(exchange->choice);
      const auto placed = has_room && !must_queue;
      const auto no_replica =
          exchange->choice.availability == Availability::kNoReplica;
      if (placed || no_replica || exchange->writer->disconnected() ||
          parts_.clock() >= start_by ||
          parts_.clock() + next_start.value_or(Duration::zero()) > start_by) {
        break;
      }
      auto until = start_by;
      if (next_start) {
        until = std::min(until, parts_.clock() + kMinStartWait + *next_start);
      }
      visit.request.must_wait = next_start || request.even_if_full;
      if (!co_await gate_.Wait(visit, until, exchange->writer)) {
        has_room = false;
        break;
      }
    }
    exchange->waited += parts_.clock() - began;
    wait_ms_.Record(
        static_cast<double>(ToMilliseconds(parts_.clock() - began).count()));
    if (!has_room) {
      exchange->choice.replica.reset();
    }
    const auto& choice = exchange->choice;
    gate_.End(visit, has_room,
              !has_room && !choice.next_start &&
                  choice.availability != Availability::kNoReplica,
              exchange->writer->disconnected());
  }

  // Stops a batch item and chooses again if the request found no free slot
  // except at a limited replica, whose starts are saved for bursts.
  auto YieldForOnline(Exchange& exchange, ChoiceRequest request) -> void {
    const auto& choice = exchange.choice;
    const auto has_slot =
        choice.availability == Availability::kFree && !choice.limited;
    // A slot does not help if the replicas take no further start.
    if (has_slot || choice.next_start ||
        !parts_.yield_batch_slot(exchange.service, request.version)) {
      return;
    }
    request.avoid_limited = choice.limited;
    const auto after_yield = parts_.load_balancer.Choose(request);
    if (HasRoom(after_yield) || !choice.limited) {
      exchange.choice = after_yield;
    }
  }

  auto Attempt(ExchangePtr exchange) -> awaitable<AttemptEnd> {
    const auto& chosen = exchange->choice.replica;
    if (!chosen) {
      co_return AttemptEnd();
    }
    const auto replica = *chosen;
    exchange->tried.push_back(replica.id);
    exchange->version = replica.version;
    exchange->attempt_answered = false;
    exchange->answer_bytes = 0;
    ++exchange->history.attempts;
    if (exchange->admission.trial) {
      exchange->history.max_attempts = 1;
    }
    attempts_.Add();
    exchange->leaving = false;
    exchange->limited =
        parts_.load_balancer.start_limiter().IsLimited(replica.id);
    if (exchange->limited) {
      limited_starts_.Add();
    }
    exchange->silence_ticket = parts_.load_balancer.OnSent(replica.id);
    parts_.load_balancer.OnStarted(replica.id, WorkClass::kOnline);
    parts_.hooks.counts_changed();
    const auto began = parts_.clock();
    exchange->call = parts_.replicas.Start(
        MakeReplicaRequest(*exchange, replica),
        MakeHeadFilter(parts_.dialect, parts_.hooks, replica,
                       exchange->request.id.value()));
    exchange->writer->OnDisconnect([call = exchange->call] { call->Cancel(); });
    auto attempt = AttemptEnd();
    attempt.end = exchange->writer->disconnected() || exchange->history.stopping
                      ? CallEnd::kCancelled
                      : co_await exchange->call->Open();
    if (attempt.end == CallEnd::kOpen) {
      exchange->head = exchange->call->head();
      attempt.status = exchange->head.status;
      ApplyAnswerMetadata(*exchange, replica, attempt);
      attempt.stream = IsEventStream(*exchange);
      ReportBytes(replica.id, parts_.load_balancer, parts_.hooks);
      if (!attempt.stream && attempt.status < kMultipleChoices) {
        OnFirstEvent(*exchange);
      }
      attempt.end = co_await ReadAnswer(exchange, began);
    }
    attempt.bytes_sent = exchange->call->bytes_sent();
    if (exchange->moving && !exchange->writer->disconnected() &&
        attempt.end == CallEnd::kCancelled) {
      attempt.end = CallEnd::kSilent;
    }
    EndAttempt(*exchange, replica, attempt, parts_.clock() - began);
    co_return attempt;
  }

  auto MakeReplicaRequest(const Exchange& exchange,
                          const routing::Replica& replica)
      -> upstream::ReplicaRequest {
    const auto& route = *exchange.route;
    auto request = upstream::ReplicaRequest();
    request.address = replica.address;
    request.id = exchange.request.id.value();
    request.method = exchange.incoming->method;
    request.target = exchange.incoming->target;
    auto delivery = Delivery();
    delivery.replica = replica.id;
    delivery.time_left = std::max(
        milliseconds(1), ToMilliseconds(exchange.deadline - parts_.clock()));
    delivery.resume_after = exchange.last_event;
    delivery.organisation = exchange.request.organisation;
    request.headers =
        parts_.dialect.encode_delivery(exchange.incoming->headers, delivery);
    request.body = {exchange.incoming, &exchange.incoming->body};
    const auto& history = exchange.history;
    if (MayRepeat(route.kind, route.resumable) &&
        history.max_attempts > history.may_have_run) {
      request.max_sends = history.max_attempts - history.may_have_run;
    }
    request.may_send = [&load_balancer = parts_.load_balancer,
                        id = replica.id] {
      return load_balancer.TakesRequests(id);
    };
    request.deadline = exchange.deadline;
    SetSilenceTimeouts(exchange, request);
    return request;
  }

  // Limits how long a replica may be silent before its attempt is abandoned.
  // When no other attempt is possible, waits until the deadline, since the
  // answer may still arrive.
  auto SetSilenceTimeouts(const Exchange& exchange,
                          upstream::ReplicaRequest& request) -> void {
    const auto& route = *exchange.route;
    const auto& history = exchange.history;
    const auto remaining = exchange.deadline - parts_.clock();
    request.head_timeout = remaining;
    request.body_idle_timeout = remaining;
    if (!MayRepeat(history.kind, history.resumable) ||
        history.may_have_run + 1 >= history.max_attempts ||
        parts_.retry_budget.available(exchange.service) < 1.0) {
      return;
    }
    const auto head = std::chrono::duration_cast<Duration>(
        route.latency_target * kHeadSilenceFactor);
    const auto gap = std::chrono::duration_cast<Duration>(route.longest_gap *
                                                          kGapSilenceFactor);
    request.head_timeout = std::max<Duration>(kMinSilence, head);
    if (route.kind == RequestKind::kStream) {
      request.body_idle_timeout = std::max<Duration>(request.head_timeout, gap);
      request.progress_timeout = kEventTimeFactor * request.body_idle_timeout;
    }
  }

  auto ApplyAnswerMetadata(Exchange& exchange,
                           const routing::Replica& replica,
                           AttemptEnd& attempt) -> void {
    const auto metadata = parts_.dialect.decode_answer(exchange.head.status,
                                                       exchange.head.headers);
    attempt.not_run = metadata.not_run || metadata.misdirected;
    exchange.leaving = metadata.leaving;
    ReportAnswer(replica, metadata, exchange.request.names_weights, logger_,
                 parts_.load_balancer, parts_.hooks);
  }

  auto ReadAnswer(ExchangePtr exchange, MonotonicTime began)
      -> awaitable<CallEnd> {
    exchange->answer = parts_.relay.NewAnswer();
    if (IsEventStream(*exchange)) {
      co_return co_await RelayEvents(exchange, began);
    }
    const auto end = co_await exchange->answer->Read(exchange->call);
    exchange->answer_bytes += exchange->answer->received();
    if (end == CallEnd::kComplete && exchange->head.status < kMultipleChoices) {
      RecordFirstByte(*exchange, began);
    }
    co_return end;
  }

  // Forwards complete events as they arrive. The response head is sent with the
  // first event, so that an attempt without events leaves the status undecided.
  auto RelayEvents(ExchangePtr exchange, MonotonicTime began)
      -> awaitable<CallEnd> {
    auto splitter = EventSplitter();
    auto end = CallEnd::kOpen;
    while (end == CallEnd::kOpen) {
      auto bytes = std::string();
      end = co_await exchange->call->Read(bytes);
      if (!bytes.empty()) {
        ReportBytes(exchange->tried.back(), parts_.load_balancer, parts_.hooks);
      }
      exchange->answer_bytes += bytes.size();
      auto piece = std::string();
      auto has_event = false;
      const auto fits = splitter.Feed(bytes, [&](const Event& event) {
        has_event = has_event || event.id != 0 || !event.data.empty();
        if (event.id != 0 && event.id <= exchange->last_event) {
          return;  // An earlier attempt has already sent it.
        }
        exchange->last_event = std::max(exchange->last_event, event.id);
        piece.append(event.raw);
      });
      if (!fits) {
        co_return CallEnd::kMalformed;
      }
      if (!piece.empty() &&
          !co_await WriteEvents(exchange, std::move(piece), began)) {
        exchange->call->Cancel();
        co_return CallEnd::kCancelled;
      }
      // After the write, since a slow caller delays the next read.
      if (has_event) {
        exchange->call->OnProgress();
      }
    }
    if (end == CallEnd::kComplete && !splitter.rest().empty()) {
      co_return CallEnd::kBroken;  // The stream ended inside an event.
    }
    co_return end;
  }

  auto OnFirstEvent(const Exchange& exchange) -> void {
    parts_.load_balancer.silence_detector().OnFirstEvent(
        exchange.silence_ticket);
  }

  // Tells the detection of silent replicas how an attempt ended. An attempt
  // that its replica broke off says nothing about silence.
  auto EndSilence(const Exchange& exchange, CallEnd end) -> void {
    const auto gave_up = end == CallEnd::kSilent || end == CallEnd::kDeadline ||
                         end == CallEnd::kCancelled;
    parts_.load_balancer.silence_detector().OnEnded(
        exchange.silence_ticket, gave_up
                                     ? SilenceDetector::SilentEnd::kGivenUp
                                     : SilenceDetector::SilentEnd::kNoEvidence);
  }

  auto WriteEvents(ExchangePtr exchange, std::string piece, MonotonicTime began)
      -> awaitable<bool> {
    OnFirstEvent(*exchange);
    OnAnswered(*exchange);
    if (!exchange->history.answer_begun) {
      RecordFirstByte(*exchange, began);
      exchange->history.answer_begun = true;
      OnStreamBegun(*exchange);
      auto headers = parts_.dialect.answer_headers(exchange->head.headers);
      const auto begun =
          co_await exchange->writer->BeginStream(kOk, std::move(headers));
      if (!begun) {
        co_return false;
      }
    }
    co_return co_await exchange->writer->WriteChunk(std::move(piece));
  }

  // A caller may take up the stream from its first event on, at any node.
  auto OnStreamBegun(Exchange& exchange) -> void {
    const auto version = exchange.stream_version.value_or(exchange.version);
    exchange.stream_version = version;
    // Nobody can name a request without an id.
    if (exchange.route->resumable && !exchange.request.id.empty()) {
      parts_.streams.OnBegan(StreamOf(exchange, exchange.request.id), version);
    }
  }

  auto RecordFirstByte(Exchange& exchange, MonotonicTime began) -> void {
    const auto now = parts_.clock();
    OnAnswered(exchange);
    exchange.first_event = now - exchange.incoming->arrived;
    first_ms_.Record(
        static_cast<double>(ToMilliseconds(exchange.first_event).count()));
    parts_.load_balancer.OnSuccess(exchange.tried.back(), now - began);
  }

  auto OnAnswered(Exchange& exchange) -> void {
    if (!std::exchange(exchange.attempt_answered, true)) {
      parts_.quarantine.OnAnswered(TraitsOf(exchange));
    }
  }

  // Whether the replica broke off before it began to answer. The connection may
  // have been replaced before the call ended.
  static auto BrokeOff(const Exchange& exchange, const AttemptEnd& attempt)
      -> bool {
    const auto broken =
        attempt.end == CallEnd::kBroken || attempt.end == CallEnd::kNotSent;
    return broken && attempt.bytes_sent && !exchange.attempt_answered;
  }

  // Computed only for requests that matter to the quarantine, as bodies may be
  // long.
  static auto ComputeFingerprint(Exchange& exchange) -> void {
    const auto& incoming = *exchange.incoming;
    if (!exchange.fingerprint) {
      exchange.fingerprint =
          FingerprintOf(incoming.method, exchange.request.host, incoming.target,
                        incoming.body);
    }
  }

  auto TraitsOf(Exchange& exchange) const -> RequestTraits {
    if (parts_.quarantine.active()) {
      ComputeFingerprint(exchange);
    }
    return {exchange.request.shared_parts, exchange.fingerprint};
  }

  auto ReportCrash(Exchange& exchange,
                   const ReplicaId& replica,
                   const AttemptEnd& attempt) -> void {
    if (BrokeOff(exchange, attempt)) {
      ComputeFingerprint(exchange);
      parts_.quarantine.OnCrash(replica, TraitsOf(exchange));
    }
  }

  auto EndAttempt(Exchange& exchange,
                  const routing::Replica& replica,
                  const AttemptEnd& attempt,
                  Duration held) -> void {
    const auto sends = exchange.call->sends();
    const auto reason = exchange.call->reason();
    exchange.call.reset();
    exchange.writer->OnDisconnect(nullptr);
    parts_.load_balancer.OnEnded(replica.id, WorkClass::kOnline);
    EndSilence(exchange, attempt.end);
    if (sends > 1) {
      parts_.load_balancer.OnSentAgain(replica.id, sends - 1);
    }
    parts_.hooks.counts_changed();
    const auto not_run = attempt.not_run || !attempt.bytes_sent;
    // When the replica refused the last send, an earlier one may still have
    // run.
    exchange.history.may_have_run +=
        not_run ? (sends > 0 ? sends - 1 : 0) : sends;
    const auto failed =
        attempt.end == CallEnd::kBroken || attempt.end == CallEnd::kMalformed ||
        attempt.end == CallEnd::kSilent || attempt.end == CallEnd::kNotSent;
    ReportCrash(exchange, replica.id, attempt);
    if (attempt.bytes_sent) {
      parts_.load_balancer.OnBytes(
          replica.id, exchange.incoming->body.size() + exchange.answer_bytes);
    }
    if (attempt.end == CallEnd::kNotSent) {
      parts_.load_balancer.OnUnreachable(replica.id);
    }
    const auto silence_known =
        attempt.end == CallEnd::kSilent &&
        parts_.load_balancer.silence_detector().IsSuspected(replica.id);
    if (silence_known) {
      // An ejection would last longer than the silence.
    } else if (failed) {
      parts_.load_balancer.OnFailure(replica.id);
    } else if (attempt.end == CallEnd::kComplete && !not_run) {
      parts_.load_balancer.OnCompleted(replica.id, held);
    }
    if (failed || not_run) {
      logger_.Warning("an attempt failed",
                      {{"event", "attempt_failed"},
                       {"request", exchange.request.id.value()},
                       {"replica", replica.id.value()},
                       {"version", replica.version},
                       {"end", std::string(upstream::CallEndName(attempt.end))},
                       {"reason", reason},
                       {"status", std::to_string(attempt.status)},
                       {"not_run", not_run ? "true" : "false"},
                       {"leaving", exchange.leaving ? "true" : "false"},
                       {"last_event", std::to_string(exchange.last_event)},
                       {"parts", PartNames(exchange.request.shared_parts)},
                       {"fingerprint", exchange.fingerprint
                                           ? PartName(*exchange.fingerprint)
                                           : std::string()},
                       {"held_ms", Text(held)}});
    }
    OnCapacityFreed();
  }

  auto DecideAfterAttempt(Exchange& exchange, const AttemptEnd& attempt)
      -> NextStepDecision {
    auto& history = exchange.history;
    history.time_left = exchange.deadline - parts_.clock();
    const auto moved = std::exchange(exchange.moving, false);
    history.retry_allowed =
        moved || parts_.retry_budget.available(exchange.service) >= 1.0;
    const auto decision = DecideNextStep(history, attempt);
    const auto ran = !attempt.not_run && attempt.bytes_sent && !moved;
    if (decision.step == NextStep::kRetry && ran) {
      parts_.retry_budget.TryRetry(exchange.service);
    }
    return decision;
  }

  auto Finish(ExchangePtr exchange,
              AttemptEnd attempt,
              NextStepDecision decision) -> awaitable<void> {
    auto& writer = *exchange->writer;
    auto status = exchange->head.status;
    switch (decision.step) {
      case NextStep::kDeliver:
        if (exchange->history.answer_begun) {
          co_await writer.FinishStream();
        } else {
          auto headers = parts_.dialect.answer_headers(exchange->head.headers);
          auto body = exchange->answer->Take();
          co_await writer.Send(status, std::move(headers), std::move(body));
        }
        completed_.Add();
        break;
      case NextStep::kRetry:
        break;
      case NextStep::kRefuse:
        status = kServiceUnavailable;
        co_await EndRefused(exchange, std::string(decision.reason));
        co_return;
      case NextStep::kUnknown:
        status = kBadGateway;
        unknown_.Add();
        co_await SendError(exchange, status, std::string(decision.reason));
        break;
      case NextStep::kTimedOut:
        status = kGatewayTimeout;
        timed_out_.Add();
        co_await SendError(exchange, status, std::string(decision.reason));
        break;
      case NextStep::kAbort:
        status = 0;
        (attempt.end == CallEnd::kCancelled ? cancelled_ : broken_off_).Add();
        break;
    }
    LogEnd(*exchange, status, decision.reason);
  }

  static auto SendError(ExchangePtr exchange, int status, std::string reason)
      -> awaitable<void> {
    co_await Refuse(exchange->writer, status, std::move(reason),
                    milliseconds::zero());
  }

  auto EndWithoutReplica(ExchangePtr exchange) -> awaitable<void> {
    if (exchange->writer->disconnected() || exchange->history.answer_begun) {
      (exchange->writer->disconnected() ? cancelled_ : broken_off_).Add();
      LogEnd(*exchange, 0, "no replica can continue the request");
      co_return;
    }
    if (exchange->history.may_have_run > 0) {
      unknown_.Add();
      co_await SendError(exchange, kBadGateway,
                         "an earlier attempt may have run");
      LogEnd(*exchange, kBadGateway,
             "no replica is left; an earlier attempt may have run");
      co_return;
    }
    co_await EndRefused(exchange, WhyWithoutReplica(*exchange));
  }

  static auto WhyWithoutReplica(const Exchange& exchange) -> std::string {
    if (!exchange.admission.allowed) {
      return exchange.admission.trait.whole_request()
                 ? "replicas crash on this request"
                 : "replicas crash on " + TraitName(exchange.admission.trait) +
                       " of the prompt";
    }
    if (exchange.choice.next_start) {
      return "all replicas are at the limits that they named";
    }
    if (exchange.choice.availability != Availability::kNoReplica) {
      return "all replicas are full";
    }
    return exchange.stream_version
               ? "no replica of the software version that began the stream is "
                 "known"
               : "no replica is known";
  }

  auto EndRefused(ExchangePtr exchange, std::string reason) -> awaitable<void> {
    refused_.Add();
    parts_.not_run(exchange->request);
    const auto retry_after = RetryAfter(*exchange);
    auto text = reason;
    co_await Refuse(exchange->writer, kServiceUnavailable, std::move(text),
                    retry_after);
    LogEnd(*exchange, kServiceUnavailable, reason);
  }

  auto RetryAfter(const Exchange& exchange) -> milliseconds {
    if (!exchange.admission.allowed) {
      return ToMilliseconds(exchange.admission.retry_after);
    }
    if (exchange.choice.availability == Availability::kNoReplica) {
      return kNoReplicaRetry;
    }
    return gate_.RetryAfter(exchange.visit, exchange.choice.next_start);
  }

  // Whether a request ended with a refusal, an error or a cut answer, which has
  // status 0.
  static auto IsFailure(int status) -> bool {
    constexpr auto kFirstError = 400;
    return status == 0 || status >= kFirstError;
  }

  auto LogEnd(const Exchange& exchange, int status, std::string_view reason)
      -> void {
    const auto total = parts_.clock() - exchange.incoming->arrived;
    total_ms_.Record(static_cast<double>(ToMilliseconds(total).count()));
    const auto& choice = exchange.choice;
    logger_.Write(
        IsFailure(status) ? LogLevel::kWarning : LogLevel::kInfo,
        "a request ended",
        {{"event", "request_ended"},
         {"request", exchange.request.id.value()},
         {"status", std::to_string(status)},
         {"reason", std::string(reason)},
         {"route", exchange.route->name},
         {"configuration", std::to_string(exchange.configuration->version)},
         {"service", exchange.service.value()},
         {"replica",
          exchange.tried.empty() ? "" : exchange.tried.back().value()},
         {"version", exchange.tried.empty() ? "" : exchange.version},
         {"stream_version", exchange.stream_version.value_or("")},
         {"resume_after", std::to_string(exchange.request.resume_after)},
         {"resumes", exchange.request.resumes.value()},
         {"attempts", std::to_string(exchange.history.attempts)},
         {"in_flight", std::to_string(choice.in_flight)},
         {"slots", std::to_string(choice.slots)},
         {"limited", exchange.limited ? "true" : "false"},
         {"leaving", exchange.leaving ? "true" : "false"},
         {"report_age_ms", Text(choice.report_age)},
         {"candidates", std::to_string(choice.candidates)},
         {"at_limit", std::to_string(choice.at_limit)},
         {"waited_ms", Text(exchange.waited)},
         {"admission",
          std::string(AdmissionOutcomeName(exchange.visit.outcome))},
         {"returning", exchange.visit.request.returning ? "true" : "false"},
         {"first_ms", Text(exchange.first_event)},
         {"total_ms", Text(total)},
         {"time_left_ms", Text(exchange.deadline - parts_.clock())}});
  }

  ForwarderParts parts_;
  Logger logger_{"forward"};
  AdmissionGate gate_{{.executor = parts_.executor,
                       .load_balancer = parts_.load_balancer,
                       .metrics = parts_.metrics,
                       .clock = parts_.clock,
                       .random = parts_.random}};
  std::set<ExchangePtr> exchanges_;  // Under way.
  std::optional<Stop> stop_;         // Once a planned stop has begun.
  Counter& completed_;
  Counter& refused_;
  Counter& unknown_;
  Counter& timed_out_;
  Counter& broken_off_;
  Counter& cancelled_;
  Counter& attempts_;
  Counter& limited_starts_;
  Counter& silence_moves_;
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
  auto exchange = std::make_shared<Exchange>();
  exchange->incoming = std::move(incoming);
  exchange->request = std::move(request);
  exchange->configuration = std::move(configuration);
  exchange->route = route;
  exchange->writer = std::move(writer);
  return impl_->Handle(std::move(exchange));
}

auto Forwarder::OnCapacityFreed() -> void {
  impl_->OnCapacityFreed();
}

auto Forwarder::MoveSilent() -> void {
  impl_->MoveSilent();
}

auto Forwarder::BeginStop(MonotonicTime last_start, MonotonicTime end) -> void {
  impl_->BeginStop(last_start, end);
}

auto Forwarder::EndAll() -> void {
  impl_->EndAll();
}

}  // namespace kumquatgauge::serving
