#include "kumquatgauge/daemon/once_service.h"

#include <xxhash.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "kumquatgauge/base/error.h"

namespace kumquatgauge::daemon {
namespace {

using caller::ServiceCallEnd;
using routing::ClaimResult;
using routing::OnceDecision;

// Replicas that a request is tried on. A request that may not be repeated moves
// on only if the replicas before certainly did not run it.
constexpr std::size_t kMaxReplicas = 3;
constexpr auto kNoReplicaRetryAfter = std::chrono::milliseconds(1000);
constexpr auto kStatusConflict = 422;

auto ToMilliseconds(Duration duration) -> double {
  return std::chrono::duration<double, std::milli>(duration).count();
}

auto MakeEnd(OutcomeKind kind,
             std::string reason,
             std::chrono::milliseconds retry_after = {}) -> ServiceCallEnd {
  auto end = ServiceCallEnd();
  end.outcome.kind = kind;
  end.outcome.reason = std::move(reason);
  end.outcome.retry_after = retry_after;
  return end;
}

// The response as kept by the registry and sent between nodes: MessagePack,
// since bodies may hold any bytes.
auto EncodeResponse(const ServiceCallEnd& end) -> std::string {
  auto message = nlohmann::json();
  if (end.response) {
    message["status"] = end.response->status;
    auto headers = nlohmann::json::array();
    for (const auto& header : end.response->headers) {
      headers.push_back({header.name, header.value});
    }
    message["headers"] = std::move(headers);
    const auto& body = end.response->body;
    message["body"] = nlohmann::json::binary({body.begin(), body.end()});
  }
  const auto bytes = nlohmann::json::to_msgpack(message);
  return {bytes.begin(), bytes.end()};
}

auto DecodeEnd(const routing::OnceResponse& answer) -> ServiceCallEnd {
  auto end = ServiceCallEnd();
  end.outcome = answer.outcome;
  if (answer.response.empty()) {
    return end;
  }
  const auto message =
      nlohmann::json::from_msgpack(answer.response, true, false);
  if (!message.is_object() || !message.contains("status")) {
    return end;
  }
  auto response = upstream::ServiceResponse();
  response.status = message.at("status").get<int>();
  for (const auto& header : message.at("headers")) {
    response.headers.push_back(
        {header.at(0).get<std::string>(), header.at(1).get<std::string>()});
  }
  const auto& body = message.at("body").get_binary();
  response.body.assign(body.begin(), body.end());
  end.response = std::move(response);
  return end;
}

auto BodyHash(const ServiceName& service,
              const upstream::ServiceRequest& request) -> std::uint64_t {
  const auto text = service.value() + "\n" + request.method + "\n" +
                    request.target + "\n" + request.body;
  return XXH3_64bits(text.data(), text.size());
}

auto RequestToMessage(const upstream::ServiceRequest& request)
    -> nlohmann::json {
  auto message = nlohmann::json();
  message["method"] = request.method;
  message["target"] = request.target;
  auto headers = nlohmann::json::array();
  for (const auto& header : request.headers) {
    headers.push_back({header.name, header.value});
  }
  message["headers"] = std::move(headers);
  message["body"] =
      nlohmann::json::binary({request.body.begin(), request.body.end()});
  return message;
}

auto RequestFromMessage(const nlohmann::json& message)
    -> upstream::ServiceRequest {
  auto request = upstream::ServiceRequest();
  request.method = message.at("method").get<std::string>();
  request.target = message.at("target").get<std::string>();
  for (const auto& header : message.at("headers")) {
    request.headers.push_back(
        {header.at(0).get<std::string>(), header.at(1).get<std::string>()});
  }
  const auto& body = message.at("body").get_binary();
  request.body.assign(body.begin(), body.end());
  return request;
}

auto EndToMessage(const ServiceCallEnd& end) -> nlohmann::json {
  const auto response = EncodeResponse(end);
  auto message = nlohmann::json();
  message["outcome"] = OutcomeKindName(end.outcome.kind);
  message["reason"] = end.outcome.reason;
  message["retry_after_ms"] = end.outcome.retry_after.count();
  message["http_status"] = end.http_status;
  message["response"] =
      nlohmann::json::binary({response.begin(), response.end()});
  return message;
}

auto EndFromMessage(const nlohmann::json& message) -> ServiceCallEnd {
  auto answer = routing::OnceResponse();
  answer.outcome.kind =
      ParseOutcomeKind(message.at("outcome").get<std::string>());
  answer.outcome.reason = message.at("reason").get<std::string>();
  answer.outcome.retry_after = std::chrono::milliseconds(
      message.at("retry_after_ms").get<std::int64_t>());
  const auto& response = message.at("response").get_binary();
  answer.response.assign(response.begin(), response.end());
  auto end = DecodeEnd(answer);
  end.http_status = message.at("http_status").get<int>();
  return end;
}

}  // namespace

// A resend that waits for the end of the first request.
struct OnceService::Waiter {
  explicit Waiter(boost::asio::any_io_executor on)
      : executor(std::move(on)), timer(executor) {}

  boost::asio::any_io_executor executor;
  boost::asio::steady_timer timer;
};

OnceService::OnceService(NodeId self,
                         Incarnation incarnation,
                         TrafficPool& pool,
                         RoutingTable& table,
                         store::ObjectStore& store,
                         boost::asio::io_context& control,
                         RequestTraces& traces,
                         TraitsOf traits_of,
                         Clock clock,
                         MetricsRegistry& metrics)
    : self_(std::move(self)),
      incarnation_(incarnation),
      pool_(pool),
      table_(table),
      store_(store),
      control_(control),
      traces_(traces),
      traits_of_(std::move(traits_of)),
      clock_(std::move(clock)),
      metrics_(metrics),
      registry_(MakeRegistry()) {}

auto OnceService::MakeRegistry() -> std::shared_ptr<routing::OnceRegistry> {
  return std::make_shared<routing::OnceRegistry>(
      self_, incarnation_, routing::OnceSettings(), clock_,
      [this](const NodeId& node) -> std::optional<Incarnation> {
        const auto found = table_.FindNode(node);
        return found ? std::optional(found->incarnation) : std::nullopt;
      });
}

auto OnceService::Restart(Incarnation incarnation) -> void {
  const auto lock = std::lock_guard(mutex_);
  incarnation_ = incarnation;
  registry_ = MakeRegistry();
}

auto OnceService::IssueTicket() const -> std::string {
  const auto lock = std::lock_guard(mutex_);
  return routing::FormatTicket(registry_->IssueTicket());
}

auto OnceService::Call(ServiceName service,
                       upstream::ServiceRequest request,
                       caller::ServiceCallOptions options)
    -> boost::asio::awaitable<ServiceCallEnd> {
  const auto traits = traits_of_(service);
  if (!traits) {
    throw Error(ErrorKind::kNotFound, "no such service", service.value(),
                "see show services for the names");
  }
  const auto start = clock_();
  auto call = ServiceCall{.service = service,
                          .request = std::move(request),
                          .options = std::move(options),
                          .deadline = start};
  call.deadline += call.options.time_left;
  call.repeatable = traits->repeatable && call.options.idempotency_key.empty();
  call.body_hash = BodyHash(call.service, call.request);
  call.key = {.organisation = call.options.organisation,
              .key = call.options.idempotency_key};
  const auto id = call.options.request_id;
  auto trace = RequestTrace{.id = id,
                            .organisation = call.options.organisation,
                            .service = service,
                            .kind = "service"};
  auto end = ServiceCallEnd();
  if (call.options.idempotency_key.empty()) {
    // Without a key resends cannot be recognised; each request runs by itself.
    end = co_await RunAtReplicas(call);
  } else {
    end = co_await CallOnce(std::move(call));
  }
  trace.outcome = OutcomeKindName(end.outcome.kind);
  trace.reason = end.outcome.reason;
  trace.milliseconds = ToMilliseconds(clock_() - start);
  metrics_
      .counter("kqg_service_outcomes_total{outcome=\"" + trace.outcome + "\"}")
      .Add();
  metrics_.histogram("kqg_service_total_seconds").Record(trace.milliseconds);
  traces_.Add(std::move(trace));
  co_return end;
}

auto OnceService::Decide(const ServiceCall& call) -> OnceDecision {
  const auto lock = std::lock_guard(mutex_);
  if (!call.options.ticket.empty()) {
    return call.registry->DecideWithTicket(
        call.key, call.body_hash, routing::ParseTicket(call.options.ticket));
  }
  return call.forwarded
             ? call.registry->DecideForwardedClaim(call.key, call.body_hash)
             : call.registry->DecideWithoutTicket(call.key, call.body_hash);
}

auto OnceService::CallOnce(ServiceCall call)
    -> boost::asio::awaitable<ServiceCallEnd> {
  {
    const auto lock = std::lock_guard(mutex_);
    call.registry = registry_;
  }
  while (true) {
    auto decision = Decide(call);
    if (decision.kind == OnceDecision::Kind::kClaim) {
      const auto claim = co_await Claim(call.key);
      {
        const auto lock = std::lock_guard(mutex_);
        decision = call.registry->OnClaim(call.key, claim);
      }
      if (decision.kind != OnceDecision::Kind::kRun) {
        WakeWaiters(call.key);
      }
    } else if (decision.kind == OnceDecision::Kind::kReadClaim) {
      const auto claim = co_await ReadClaim(call.key);
      const auto lock = std::lock_guard(mutex_);
      decision = call.registry->OnClaimRead(claim);
    }
    if (decision.kind != OnceDecision::Kind::kWait) {
      co_return co_await CarryOut(call, std::move(decision));
    }
    if (clock_() >= call.deadline) {
      co_return MakeEnd(OutcomeKind::kUnknown,
                        "the first request with this key is still running");
    }
    co_await WaitForChange(call.key);
  }
}

auto OnceService::CarryOut(const ServiceCall& call, OnceDecision decision)
    -> boost::asio::awaitable<ServiceCallEnd> {
  switch (decision.kind) {
    case OnceDecision::Kind::kRun:
      co_return co_await RunOnce(call);
    case OnceDecision::Kind::kForward:
      if (call.forwarded) {
        // The sender has a different view of the membership. Forwarding the
        // request again could loop.
        co_return MakeEnd(
            OutcomeKind::kUnknown,
            "a node other than the one asked must run this request");
      }
      co_return co_await Forward(call, decision);
    case OnceDecision::Kind::kConflict: {
      auto end = MakeEnd(OutcomeKind::kFailed,
                         "the Idempotency-Key was used with another body");
      end.http_status = kStatusConflict;
      co_return end;
    }
    default:
      co_return DecodeEnd(decision.answer);
  }
}

auto OnceService::RunOnce(const ServiceCall& call)
    -> boost::asio::awaitable<ServiceCallEnd> {
  auto end = co_await RunAtReplicas(call);
  auto finished = routing::FinishResult();
  {
    const auto lock = std::lock_guard(mutex_);
    finished = call.registry->Finished(
        call.key, {.outcome = end.outcome, .response = EncodeResponse(end)});
  }
  if (finished.release_claim) {
    co_await boost::asio::co_spawn(control_, ReleaseClaimOnControl(call.key),
                                   boost::asio::use_awaitable);
  }
  WakeWaiters(call.key);
  co_return end;
}

auto OnceService::RunAtReplicas(const ServiceCall& call)
    -> boost::asio::awaitable<ServiceCallEnd> {
  auto route_request = routing::RouteRequest{.service = call.service,
                                             .may_probe = call.repeatable};
  auto reason = std::string("no replica of the service is available");
  auto may_have_run = false;
  while (route_request.tried.size() < kMaxReplicas) {
    auto explanation = routing::RouteExplanation();
    const auto route =
        table_.Choose(route_request, routing::WorkClass::kOnline, explanation);
    const auto time_left =
        std::chrono::duration_cast<std::chrono::milliseconds>(call.deadline -
                                                              clock_());
    if (!route || time_left <= std::chrono::milliseconds::zero()) {
      break;
    }
    route_request.tried.push_back(route->replica.id);
    const auto start = clock_();
    auto failure = std::optional<Error>();
    auto end = ServiceCallEnd();
    BeginCall(route->replica.id);
    try {
      end.response = co_await pool_.current().service().Send(
          route->replica.address, call.request, call.repeatable, time_left);
    } catch (const Error& error) {
      failure = error;
    }
    EndCall(route->replica);
    if (!failure) {
      table_.OnSuccess(route->replica.id, clock_() - start);
      co_return end;
    }
    table_.OnFailure(route->replica.id);
    reason = failure->what();
    may_have_run = may_have_run || failure->kind() != ErrorKind::kUnavailable;
    if (may_have_run && !call.repeatable) {
      break;
    }
  }
  if (may_have_run) {
    co_return MakeEnd(OutcomeKind::kUnknown, reason);
  }
  co_return MakeEnd(OutcomeKind::kNotRun, reason, kNoReplicaRetryAfter);
}

auto OnceService::Forward(const ServiceCall& call, const OnceDecision& decision)
    -> boost::asio::awaitable<ServiceCallEnd> {
  const auto unknown =
      MakeEnd(OutcomeKind::kUnknown,
              "node " + decision.node.value() +
                  ", which alone may run this request, did not answer");
  const auto node = table_.FindNode(decision.node);
  if (!node) {
    co_return unknown;
  }
  auto message = nlohmann::json();
  message["service"] = call.service.value();
  message["organisation"] = call.options.organisation.value();
  message["key"] = call.options.idempotency_key;
  message["ticket"] = call.options.ticket;
  message["request_id"] = call.options.request_id.value();
  message["incarnation"] = decision.incarnation;
  const auto time_left = std::chrono::duration_cast<std::chrono::milliseconds>(
      call.deadline - clock_());
  message["time_left_ms"] = time_left.count();
  message["request"] = RequestToMessage(call.request);
  auto end = std::optional<ServiceCallEnd>();
  const auto on_frame = [&end](const nlohmann::json& frame) {
    if (frame.contains("end")) {
      end = EndFromMessage(frame.at("end"));
    }
  };
  try {
    co_await pool_.current().peer().Call(node->node_address,
                                         node::Channel::kOnline, "once",
                                         message, on_frame, time_left, nullptr);
  } catch (const Error&) {
    co_return unknown;
  }
  co_return end.value_or(unknown);
}

auto OnceService::HandleOnce(nlohmann::json request,
                             std::shared_ptr<node::Responder> responder)
    -> boost::asio::awaitable<void> {
  auto call = ServiceCall();
  call.service = ServiceName(request.at("service").get<std::string>());
  call.request = RequestFromMessage(request.at("request"));
  call.options.organisation =
      OrganisationName(request.at("organisation").get<std::string>());
  call.options.idempotency_key = request.at("key").get<std::string>();
  call.options.ticket = request.at("ticket").get<std::string>();
  call.options.request_id =
      RequestId(request.at("request_id").get<std::string>());
  call.options.time_left =
      std::chrono::milliseconds(request.at("time_left_ms").get<std::int64_t>());
  call.deadline = clock_() + call.options.time_left;
  call.body_hash = BodyHash(call.service, call.request);
  call.key = {.organisation = call.options.organisation,
              .key = call.options.idempotency_key};
  call.forwarded = true;
  auto end = MakeEnd(OutcomeKind::kUnknown,
                     "the node that alone may run this request was restarted");
  if (request.at("incarnation").get<Incarnation>() == incarnation_) {
    end = co_await CallOnce(std::move(call));
  }
  auto frame = nlohmann::json();
  frame["end"] = EndToMessage(end);
  responder->Send(frame);
}

auto OnceService::Claim(const routing::OnceKey& key)
    -> boost::asio::awaitable<ClaimResult> {
  co_return co_await boost::asio::co_spawn(control_, ClaimOnControl(key),
                                           boost::asio::use_awaitable);
}

auto OnceService::ReadClaim(const routing::OnceKey& key)
    -> boost::asio::awaitable<ClaimResult> {
  co_return co_await boost::asio::co_spawn(
      control_, ReadClaimOnControl(key, ""), boost::asio::use_awaitable);
}

auto OnceService::ClaimOnControl(routing::OnceKey key)
    -> boost::asio::awaitable<ClaimResult> {
  // Unique among the claims of this incarnation, which never claims a key
  // twice while one claim is undecided.
  const auto operation =
      std::to_string(clock_().time_since_epoch().count()) + key.key;
  auto claim = nlohmann::json();
  claim["node"] = self_.value();
  claim["incarnation"] = incarnation_.load();
  claim["operation"] = operation;
  auto failure = std::optional<ErrorKind>();
  try {
    co_await store_.Write(routing::ClaimObjectKey(key), claim.dump(),
                          std::nullopt, store::CallClass::kClaim);
  } catch (const Error& error) {
    failure = error.kind();
  }
  if (!failure) {
    co_return ClaimResult{.kind = ClaimResult::Kind::kCreated};
  }
  if (*failure != ErrorKind::kConflict &&
      *failure != ErrorKind::kUnknownOutcome) {
    co_return ClaimResult{.kind = ClaimResult::Kind::kNotSent};
  }
  auto result = co_await ReadClaimOnControl(key, operation);
  if (result.kind == ClaimResult::Kind::kAbsent) {
    // The write without an answer may still be applied.
    result.kind = ClaimResult::Kind::kAmbiguous;
  }
  co_return result;
}

auto OnceService::ReadClaimOnControl(routing::OnceKey key,
                                     std::string operation)
    -> boost::asio::awaitable<ClaimResult> {
  try {
    const auto object = co_await store_.Read(routing::ClaimObjectKey(key),
                                             store::CallClass::kClaim);
    if (!object) {
      co_return ClaimResult{.kind = ClaimResult::Kind::kAbsent};
    }
    const auto claim = nlohmann::json::parse(object->value);
    const auto is_own =
        !operation.empty() && claim.at("operation") == operation;
    auto result = ClaimResult{.kind = is_own ? ClaimResult::Kind::kCreated
                                             : ClaimResult::Kind::kExists};
    result.node = NodeId(claim.at("node").get<std::string>());
    result.incarnation = claim.at("incarnation").get<Incarnation>();
    co_return result;
  } catch (const std::exception&) {
    co_return ClaimResult{.kind = ClaimResult::Kind::kAmbiguous};
  }
}

auto OnceService::ReleaseClaimOnControl(routing::OnceKey key)
    -> boost::asio::awaitable<void> {
  try {
    const auto object_key = routing::ClaimObjectKey(key);
    const auto object =
        co_await store_.Read(object_key, store::CallClass::kClaim);
    if (object) {
      co_await store_.Remove(object_key, object->version,
                             store::CallClass::kClaim);
    }
  } catch (const Error&) {
    // The claim stays: a resend then gets "not run" here and "unknown" after a
    // restart, both of which are true.
    co_return;
  }
  const auto lock = std::lock_guard(mutex_);
  registry_->ClaimReleased(key);
}

auto OnceService::WaitForChange(const routing::OnceKey& key)
    -> boost::asio::awaitable<void> {
  // The end of the first request wakes the waiter. The time limit covers an end
  // between the decision to wait and the registration below.
  constexpr auto kRecheckInterval = std::chrono::milliseconds(250);
  const auto waiter =
      std::make_shared<Waiter>(co_await boost::asio::this_coro::executor);
  {
    const auto lock = std::lock_guard(mutex_);
    waiters_.emplace(key, waiter);
  }
  waiter->timer.expires_after(kRecheckInterval);
  auto ignored = boost::system::error_code();
  co_await waiter->timer.async_wait(
      boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
  const auto lock = std::lock_guard(mutex_);
  std::erase_if(waiters_, [&waiter](const auto& entry) {
    return entry.second == waiter;
  });
}

auto OnceService::WakeWaiters(const routing::OnceKey& key) -> void {
  const auto lock = std::lock_guard(mutex_);
  const auto [first, last] = waiters_.equal_range(key);
  std::for_each(first, last, [](const auto& entry) {
    boost::asio::post(entry.second->executor,
                      [waiter = entry.second] { waiter->timer.cancel(); });
  });
}

auto OnceService::BeginCall(const ReplicaId& replica) -> void {
  const auto lock = std::lock_guard(mutex_);
  ++in_flight_[replica];
}

auto OnceService::EndCall(const routing::Replica& replica) -> void {
  auto load = routing::ReplicaLoad();
  load.replica = replica.id;
  load.limit = replica.capacity;
  {
    const auto lock = std::lock_guard(mutex_);
    load.online_in_flight = --in_flight_[replica.id];
  }
  // A plain service has no dispatcher, so this node knows only the load that it
  // causes itself.
  table_.OnLoad(load);
}

auto OnceService::OnTick() -> void {
  const auto lock = std::lock_guard(mutex_);
  registry_->OnTick();
}

auto OnceService::in_flight() const -> std::size_t {
  const auto lock = std::lock_guard(mutex_);
  auto total = std::size_t{0};
  for (const auto& [replica, count] : in_flight_) {
    total += count;
  }
  return total;
}

}  // namespace kumquatgauge::daemon
