#include "kumquatgauge/routing/retry_budget.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace kumquatgauge::routing {
namespace {

// Time constant of the request rate that bounds the accumulated balance.
constexpr double kRateSeconds = 5.0;

}  // namespace

RetryBudget::RetryBudget(RetryBudgetSettings settings, Clock clock)
    : settings_(settings), clock_(std::move(clock)) {}

auto RetryBudget::set_nodes(std::size_t nodes) -> void {
  nodes_ = std::max<std::size_t>(nodes, 1);
}

auto RetryBudget::OnRequest(const ServiceName& service) -> void {
  auto& account = Update(service);
  account.request_rate += 1.0 / kRateSeconds;
  account.balance += settings_.share_of_requests;
}

auto RetryBudget::TryRetry(const ServiceName& service) -> bool {
  auto& account = Update(service);
  if (account.balance < 1.0) {
    return false;
  }
  account.balance -= 1.0;
  return true;
}

auto RetryBudget::available(const ServiceName& service) -> double {
  return Update(service).balance;
}

auto RetryBudget::PerSecond() const -> double {
  return settings_.per_second / static_cast<double>(nodes_);
}

auto RetryBudget::Update(const ServiceName& service) -> Account& {
  auto now = clock_();
  auto [it, created] = accounts_.try_emplace(service);
  auto& account = it->second;
  if (created) {
    account.balance = PerSecond();
    account.updated = now;
    return account;
  }
  auto elapsed = std::chrono::duration<double>(now - account.updated).count();
  account.updated = now;
  account.request_rate *= std::exp(-elapsed / kRateSeconds);
  auto rate = PerSecond() + settings_.share_of_requests * account.request_rate;
  account.balance = std::min(account.balance + elapsed * PerSecond(),
                             std::max(1.0, rate * settings_.burst_seconds));
  return account;
}

}  // namespace kumquatgauge::routing
