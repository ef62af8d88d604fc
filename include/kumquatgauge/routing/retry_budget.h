#ifndef KUMQUATGAUGE_ROUTING_RETRY_BUDGET_H_
#define KUMQUATGAUGE_ROUTING_RETRY_BUDGET_H_

#include <cstddef>
#include <unordered_map>

#include "kumquatgauge/base/ids.h"
#include "kumquatgauge/base/time.h"

namespace kumquatgauge::routing {

struct RetryBudgetSettings {
  double share_of_requests = 0.1;
  double per_second = 3.0;
  // Maximum number of unused retries that accumulate, in seconds of
  // `per_second` and of the recent request rate.
  double burst_seconds = 2.0;
};

// Bounds the retries of each service to a share of its requests plus a few per
// second, so that retries cannot multiply an overload. Not thread-safe.
class RetryBudget {
 public:
  RetryBudget(RetryBudgetSettings settings, Clock clock);

  // Sets the number of nodes among which `per_second` is divided; the share of
  // requests needs no division. Undivided, 330 nodes would allow 990 retries
  // per second and service, several times the number of requests.
  auto set_nodes(std::size_t nodes) -> void;
  // Records a first attempt, not a retry.
  auto OnRequest(const ServiceName& service) -> void;
  // Takes one retry from the budget; false when there is none left.
  auto TryRetry(const ServiceName& service) -> bool;
  auto available(const ServiceName& service) -> double;

 private:
  struct Account {
    double balance = 0.0;
    double request_rate = 0.0;  // Per second, decaying.
    MonotonicTime updated;
  };

  auto Update(const ServiceName& service) -> Account&;

  auto PerSecond() const -> double;

  RetryBudgetSettings settings_;
  std::size_t nodes_ = 1;
  Clock clock_;
  std::unordered_map<ServiceName, Account> accounts_;
};

}  // namespace kumquatgauge::routing

#endif  // KUMQUATGAUGE_ROUTING_RETRY_BUDGET_H_
