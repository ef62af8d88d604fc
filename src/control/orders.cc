#include "kumquatgauge/control/orders.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "kumquatgauge/base/error.h"

namespace kumquatgauge::control {
namespace {

using boost::asio::awaitable;
using upstream::EngineOrder;

constexpr auto kLoad = "load";
constexpr auto kUnload = "unload";
constexpr auto kRole = "role";
constexpr auto kDriverStep = std::chrono::milliseconds(200);
// If the lease object is lost, its tokens restart. A holder whose token an
// engine refused then raises its token by more than this.
constexpr std::uint64_t kFenceStep = 1'024;

auto SplitModel(const std::string& model)
    -> std::pair<std::string, std::string> {
  const auto at = model.rfind('@');
  if (at == std::string::npos) {
    return {model, ""};
  }
  return {model.substr(0, at), model.substr(at + 1)};
}

auto JoinModel(const EngineOrder& order) -> std::string {
  return order.version.empty() ? order.model
                               : order.model + "@" + order.version;
}

auto MakeOrder(const char* action, const std::string& model) -> EngineOrder {
  auto order = EngineOrder();
  order.action = action;
  std::tie(order.model, order.version) = SplitModel(model);
  return order;
}

}  // namespace

OrderController::OrderController(ServiceName service, OrderOptions options)
    : service_(std::move(service)), options_(options) {}

auto OrderController::SetDesired(const std::vector<UpstreamSpec>& upstreams)
    -> void {
  auto names = std::set<ReplicaId>();
  for (const auto& spec : upstreams) {
    if (spec.desired_models.empty() && spec.role.empty()) {
      continue;
    }
    names.insert(spec.name);
    auto& state = states_[spec.name];
    if (state.spec.address != spec.address) {
      state = State();  // Another engine with the same name.
    }
    state.spec = spec;
  }
  std::erase_if(states_,
                [&](const auto& item) { return !names.contains(item.first); });
}

auto OrderController::OnLease(std::uint64_t token,
                              MonotonicTime held_until,
                              bool took_over,
                              MonotonicTime now) -> void {
  if (token != token_) {
    OnLeaseLost();
    acquired_ = now;
    former_holder_until_ =
        took_over ? now + options_.lease.term + options_.call_timeout : now;
  }
  token_ = token;
  held_until_ = held_until;
}

auto OrderController::OnLeaseLost() -> void {
  token_ = 0;
  fenced_out_ = false;
  weights_requested_ = false;
  for (auto& [name, state] : states_) {
    state.pending.reset();
    state.granted_weights.clear();
    state.role_ordered.clear();
  }
}

auto OrderController::OnObserved(const ReplicaId& upstream,
                                 const upstream::LoadReport& report,
                                 MonotonicTime now) -> void {
  const auto found = states_.find(upstream);
  if (found == states_.end()) {
    return;
  }
  auto& state = found->second;
  state.observing = false;
  state.observed.emplace(report.models.begin(), report.models.end());
  state.observed_at = now - report.age;
  const auto interval = DiffersFromDesired(state)
                            ? options_.observe_interval
                            : options_.idle_observe_interval;
  state.next_observe = now + interval;
  SettlePending(state, now);
}

auto OrderController::OnObserveFailed(const ReplicaId& upstream,
                                      MonotonicTime now) -> void {
  const auto found = states_.find(upstream);
  if (found != states_.end()) {
    found->second.observing = false;
    found->second.next_observe = now + options_.observe_interval;
  }
}

auto OrderController::OnWeightsGranted(const ReplicaId& upstream) -> void {
  weights_requested_ = false;
  last_served_ = upstream;
  const auto found = states_.find(upstream);
  if (found == states_.end() || token_ == 0) {
    return;
  }
  const auto order = NextOrder(found->second);
  if (order && order->action == kLoad) {
    found->second.granted_weights = JoinModel(*order);
  }
}

auto OrderController::OnWeightsRefused(Duration retry_after, MonotonicTime now)
    -> void {
  weights_requested_ = false;
  weights_not_before_ = now + retry_after;
}

auto OrderController::OnWeightsFailed(const ReplicaId& upstream,
                                      MonotonicTime now) -> void {
  weights_requested_ = false;
  last_served_ = upstream;
  const auto found = states_.find(upstream);
  if (found != states_.end()) {
    BackOff(found->second, now);
  }
}

auto OrderController::OnOrderResult(const ReplicaId& upstream,
                                    const std::string& operation,
                                    OrderResult result,
                                    MonotonicTime now) -> void {
  const auto found = states_.find(upstream);
  if (found == states_.end() || !found->second.pending ||
      found->second.pending->order.operation != operation) {
    return;
  }
  auto& state = found->second;
  auto& pending = *state.pending;
  pending.sending = false;
  switch (result) {
    case OrderResult::kAccepted:
      pending.accepted = now;
      state.failures = 0;
      if (pending.order.action == kRole) {
        state.role_ordered = pending.order.model;
        state.pending.reset();
      }
      state.next_observe =
          std::min(state.next_observe, now + options_.observe_interval);
      break;
    case OrderResult::kFenced:
      fenced_out_ = true;
      state.pending.reset();
      break;
    case OrderResult::kUnknown:
      // The order stays pending and is repeated with the same operation id.
      BackOff(state, now);
      break;
    case OrderResult::kFailed:
      state.pending.reset();
      BackOff(state, now);
      break;
  }
}

auto OrderController::BackOff(State& state, MonotonicTime now) -> void {
  const auto doublings = std::min<std::uint32_t>(state.failures, 10);
  ++state.failures;
  state.not_before =
      now + std::min(options_.max_retry_delay,
                     options_.initial_retry_delay * (1U << doublings));
}

auto OrderController::MissingModels(const State& state) const
    -> std::vector<std::string> {
  auto missing = std::vector<std::string>();
  for (const auto& model : state.spec.desired_models) {
    if (state.observed && !state.observed->contains(model)) {
      missing.push_back(model);
    }
  }
  return missing;
}

auto OrderController::SurplusModels(const State& state) const
    -> std::vector<std::string> {
  auto surplus = std::vector<std::string>();
  const auto& desired = state.spec.desired_models;
  if (!state.observed || desired.empty()) {
    return surplus;
  }
  for (const auto& model : *state.observed) {
    if (std::find(desired.begin(), desired.end(), model) == desired.end()) {
      surplus.push_back(model);
    }
  }
  return surplus;
}

auto OrderController::DiffersFromDesired(const State& state) const -> bool {
  return state.pending || !MissingModels(state).empty() ||
         !SurplusModels(state).empty() ||
         (!state.spec.role.empty() && state.role_ordered != state.spec.role);
}

auto OrderController::NeedsLease() const -> bool {
  return std::any_of(states_.begin(), states_.end(), [&](const auto& item) {
    return DiffersFromDesired(item.second);
  });
}

auto OrderController::MayAct(MonotonicTime now) const -> bool {
  return token_ != 0 && !fenced_out_ &&
         now + options_.call_timeout <= held_until_;
}

auto OrderController::IsFresh(const State& state) const -> bool {
  const auto needed =
      state.spec.checks_fencing ? acquired_ : former_holder_until_;
  return state.observed && state.observed_at >= needed;
}

auto OrderController::NextOrder(const State& state) const
    -> std::optional<EngineOrder> {
  const auto missing = MissingModels(state);
  const auto surplus = SurplusModels(state);
  // After a failed load, surplus models are unloaded first, because the engine
  // may lack memory.
  if (!missing.empty() && (surplus.empty() || state.failures == 0)) {
    return MakeOrder(kLoad, missing.front());
  }
  if (!surplus.empty()) {
    return MakeOrder(kUnload, surplus.front());
  }
  if (!state.spec.role.empty() && state.role_ordered != state.spec.role) {
    auto order = EngineOrder();
    order.action = kRole;
    order.model = state.spec.role;
    return order;
  }
  return std::nullopt;
}

auto OrderController::HasTakenEffect(const State& state,
                                     const EngineOrder& order) const -> bool {
  const auto loaded = state.observed->contains(JoinModel(order));
  return order.action == kLoad ? loaded : !loaded;
}

auto OrderController::SettlePending(State& state, MonotonicTime now) -> void {
  if (!state.pending || state.pending->sending ||
      state.pending->order.action == kRole) {
    return;
  }
  if (!state.pending->accepted) {
    if (HasTakenEffect(state, state.pending->order)) {
      state.pending.reset();  // The response was lost, but the order succeeded.
    }
    return;
  }
  const auto accepted = *state.pending->accepted;
  if (state.observed_at < accepted) {
    return;  // The report is older than the order.
  }
  const auto overdue = now - accepted >= options_.settle_timeout;
  if (HasTakenEffect(state, state.pending->order) || overdue) {
    state.pending.reset();
  }
}

auto OrderController::ObserveIfDue(State& state,
                                   MonotonicTime now,
                                   std::vector<OrderAction>& actions) -> void {
  if (state.observing || now < state.next_observe) {
    return;
  }
  state.observing = true;
  actions.push_back({.kind = OrderAction::Kind::kObserve,
                     .upstream = state.spec.name,
                     .address = state.spec.address});
}

auto OrderController::Advance(State& state,
                              MonotonicTime now,
                              std::vector<OrderAction>& actions) -> void {
  if (!IsFresh(state) || now < state.not_before) {
    return;
  }
  if (state.pending && (state.pending->sending || state.pending->accepted)) {
    return;
  }
  if (!state.pending) {
    auto order = NextOrder(state);
    if (!order) {
      return;
    }
    if (order->action == kLoad) {
      if (state.granted_weights != JoinModel(*order)) {
        return;  // The weight store has not granted the weights yet.
      }
      state.granted_weights.clear();
    }
    order->fence = token_;
    order->operation = service_.value() + "." + std::to_string(token_) + "." +
                       std::to_string(++last_operation_);
    state.pending = Pending{.order = *order, .accepted = {}};
  }
  state.pending->sending = true;
  actions.push_back({.kind = OrderAction::Kind::kSend,
                     .upstream = state.spec.name,
                     .address = state.spec.address,
                     .order = state.pending->order});
}

auto OrderController::WeightsToRequest(const State& state,
                                       MonotonicTime now) const -> std::string {
  if (state.pending || !IsFresh(state) || now < state.not_before) {
    return "";
  }
  const auto order = NextOrder(state);
  if (!order || order->action != kLoad ||
      state.granted_weights == JoinModel(*order)) {
    return "";
  }
  return JoinModel(*order);
}

auto OrderController::RequestWeights(MonotonicTime now,
                                     std::vector<OrderAction>& actions)
    -> void {
  if (weights_requested_ || now < weights_not_before_ || states_.empty()) {
    return;
  }
  auto next = states_.upper_bound(last_served_);
  for (std::size_t i = 0; i < states_.size(); ++i, ++next) {
    if (next == states_.end()) {
      next = states_.begin();
    }
    auto weights = WeightsToRequest(next->second, now);
    if (!weights.empty()) {
      weights_requested_ = true;
      actions.push_back({.kind = OrderAction::Kind::kRequestWeights,
                         .upstream = next->first,
                         .address = next->second.spec.address,
                         .weights = std::move(weights)});
      return;
    }
  }
}

auto OrderController::Tick(MonotonicTime now) -> std::vector<OrderAction> {
  auto actions = std::vector<OrderAction>();
  const auto may_act = MayAct(now);
  for (auto& [name, state] : states_) {
    ObserveIfDue(state, now, actions);
    if (may_act) {
      Advance(state, now, actions);
    }
  }
  if (may_act) {
    RequestWeights(now, actions);
  }
  return actions;
}

auto OrderController::WaitingFor(const State& state, MonotonicTime now) const
    -> std::string {
  if (!state.observed) {
    return "a load report of the engine";
  }
  if (!DiffersFromDesired(state)) {
    return "";
  }
  if (token_ == 0) {
    return "the lease order/" + service_.value();
  }
  if (fenced_out_) {
    return "a fencing token above the one that the engine has seen";
  }
  if (!IsFresh(state)) {
    return now < former_holder_until_ && !state.spec.checks_fencing
               ? "the end of the former holder's term"
               : "a load report newer than the lease";
  }
  if (state.pending) {
    return state.pending->accepted
               ? "the engine to report order " + state.pending->order.operation
               : "the response to order " + state.pending->order.operation;
  }
  if (now < state.not_before) {
    return "the retry after a failed order";
  }
  return "the weight store";
}

auto OrderController::Status(MonotonicTime now) const
    -> std::vector<OrderStatus> {
  auto statuses = std::vector<OrderStatus>();
  for (const auto& [name, state] : states_) {
    statuses.push_back({.upstream = name,
                        .missing = MissingModels(state),
                        .surplus = SurplusModels(state),
                        .waiting_for = WaitingFor(state, now)});
  }
  return statuses;
}

OrderDriver::OrderDriver(ServiceName service,
                         Environment environment,
                         OrderOptions options)
    : service_(std::move(service)),
      environment_(std::move(environment)),
      options_(options),
      controller_(service_, options),
      keeper_(environment_.store,
              "order/" + service_.value(),
              environment_.node,
              environment_.incarnation,
              environment_.clock,
              environment_.random,
              options.lease) {}

auto OrderDriver::Stop() -> void {
  stopped_ = true;
  if (wake_timer_) {
    wake_timer_->cancel();
  }
}

auto OrderDriver::Run() -> awaitable<void> {
  executor_ = co_await boost::asio::this_coro::executor;
  wake_timer_.emplace(*executor_);
  while (!stopped_ || running_ > 0) {
    if (!stopped_) {
      RefreshDesired();
      co_await MaintainLease();
    }
    if (!stopped_ && (keeper_.held() || environment_.responsible())) {
      for (auto& action : controller_.Tick(environment_.clock())) {
        Start(std::move(action));
      }
    }
    wake_timer_->expires_after(kDriverStep);
    co_await wake_timer_->async_wait(
        boost::asio::as_tuple(boost::asio::use_awaitable));
  }
  if (keeper_.held()) {
    try {
      co_await keeper_.Release();
    } catch (const Error&) {
      // The next holder waits for the term to expire.
    }
  }
}

auto OrderDriver::RefreshDesired() -> void {
  const auto configuration = environment_.configuration();
  if (desired_revision_ == configuration.revision()) {
    return;
  }
  desired_revision_ = configuration.revision();
  controller_.SetDesired(configuration.UpstreamsOf(service_));
}

auto OrderDriver::MaintainLease() -> awaitable<void> {
  const auto now = environment_.clock();
  if (controller_.fenced_out()) {
    co_await ReacquireAboveFence();
    co_return;
  }
  const auto wanted = environment_.responsible() && controller_.NeedsLease();
  if (wanted) {
    idle_since_.reset();
  } else if (!idle_since_) {
    idle_since_ = now;
  }
  if (now < next_lease_step_) {
    co_return;
  }
  next_lease_step_ = now + options_.lease.renew_interval;
  if (keeper_.held()) {
    if (idle_since_ && now - *idle_since_ >= options_.idle_release_delay) {
      controller_.OnLeaseLost();
      try {
        co_await keeper_.Release();
      } catch (const Error&) {
        // The next holder waits for the term to expire.
      }
      co_return;
    }
    co_await RenewOrLose();
  } else if (wanted) {
    co_await RenewOrLose();
  }
}

auto OrderDriver::RenewOrLose() -> awaitable<void> {
  auto held = false;
  try {
    held = co_await keeper_.TryAcquire();
  } catch (const Error&) {
    // The platform does not respond; the controller stops at held_until().
    held = keeper_.held();
  }
  if (held) {
    controller_.OnLease(keeper_.token(), keeper_.held_until(),
                        keeper_.took_over(), environment_.clock());
  } else {
    controller_.OnLeaseLost();
  }
}

auto OrderDriver::ReacquireAboveFence() -> awaitable<void> {
  const auto token = keeper_.token();
  controller_.OnLeaseLost();
  try {
    // If there is a newer holder, the renewal fails. Otherwise the engine has
    // seen a token from before the lease object was lost.
    const auto still_held = co_await keeper_.Renew();
    if (!still_held) {
      co_return;
    }
    co_await keeper_.Release();
    co_await keeper_.TryAcquire(token + kFenceStep);
  } catch (const Error&) {
    // The next lease step retries.
  }
  if (keeper_.held()) {
    controller_.OnLease(keeper_.token(), keeper_.held_until(),
                        keeper_.took_over(), environment_.clock());
  }
}

auto OrderDriver::Start(OrderAction action) -> void {
  ++running_;
  boost::asio::co_spawn(*executor_, Execute(std::move(action)),
                        [this](const std::exception_ptr&) {
                          --running_;
                          wake_timer_->cancel();
                        });
}

auto OrderDriver::Execute(OrderAction action) -> awaitable<void> {
  switch (action.kind) {
    case OrderAction::Kind::kObserve:
      co_await Observe(action);
      break;
    case OrderAction::Kind::kRequestWeights:
      co_await RequestWeights(action);
      break;
    case OrderAction::Kind::kSend:
      co_await Send(action);
      break;
  }
}

auto OrderDriver::Observe(const OrderAction& action) -> awaitable<void> {
  const auto asked = environment_.clock();
  try {
    const auto report = co_await environment_.engines.Load(action.address);
    // The report may be as old as the request.
    controller_.OnObserved(action.upstream, report, asked);
  } catch (const std::exception&) {
    controller_.OnObserveFailed(action.upstream, environment_.clock());
  }
}

auto OrderDriver::RequestWeights(const OrderAction& action) -> awaitable<void> {
  auto retry_after = std::optional<Duration>();
  try {
    const auto wait = co_await environment_.weights.Request(action.weights);
    if (wait) {
      retry_after = *wait;
    }
  } catch (const std::exception&) {
    controller_.OnWeightsFailed(action.upstream, environment_.clock());
    co_return;
  }
  if (retry_after) {
    controller_.OnWeightsRefused(*retry_after, environment_.clock());
  } else {
    controller_.OnWeightsGranted(action.upstream);
  }
}

auto OrderDriver::Send(const OrderAction& action) -> awaitable<void> {
  auto result = OrderResult::kAccepted;
  // Checked again because the process may have been paused since the decision.
  const auto ends = environment_.clock() + options_.call_timeout;
  if (!keeper_.held() || ends > keeper_.held_until()) {
    result = OrderResult::kFailed;
  } else {
    try {
      co_await environment_.engines.SendOrder(action.address, action.order);
    } catch (const Error& error) {
      result = error.kind() == ErrorKind::kConflict ? OrderResult::kFenced
               : error.kind() == ErrorKind::kUnknownOutcome
                   ? OrderResult::kUnknown
                   : OrderResult::kFailed;
    } catch (const std::exception&) {
      result = OrderResult::kUnknown;
    }
  }
  controller_.OnOrderResult(action.upstream, action.order.operation, result,
                            environment_.clock());
}

}  // namespace kumquatgauge::control
