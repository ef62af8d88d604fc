#ifndef TESTING_SOAK_REMOVABLE_ROUTE_LOAD_H_
#define TESTING_SOAK_REMOVABLE_ROUTE_LOAD_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>

#include "testing/gateway/gateway_process.h"
#include "testing/soak/checker.h"

namespace kumquatgauge::testing {

// Batch jobs of a route that the configuration loses while they are open. The
// route returns, or another one takes its place. Either way the results of
// every accepted job must become complete. Thread-safe.
class RemovableRouteLoad {
 public:
  static constexpr auto kJobPrefix = "removable-";

  // `node` returns a gateway by a random number.
  RemovableRouteLoad(
      std::function<auto(std::uint64_t)->const GatewayProcess&> node,
      SoakChecker& checker)
      : node_(std::move(node)), checker_(checker) {}

  // Adds the route to a configuration, unless it is removed.
  auto AddTo(nlohmann::json& configuration) const -> void;
  // Removes the route from later configurations. If it is removed already, lets
  // it return or lets another one replace it, by a random number.
  auto Change(std::uint64_t random) -> void;
  // Submits jobs until `done`; for one thread.
  auto Run(std::uint64_t seed, const std::atomic<bool>& done) -> void;
  // Number of accepted jobs.
  auto jobs() const -> int { return jobs_; }

 private:
  auto Prefix() const -> std::string;

  std::function<auto(std::uint64_t)->const GatewayProcess&> node_;
  SoakChecker& checker_;
  mutable std::mutex mutex_;
  int number_ = 0;  // Of the newest route.
  bool removed_ = false;
  std::atomic<int> jobs_{0};
};

}  // namespace kumquatgauge::testing

#endif  // TESTING_SOAK_REMOVABLE_ROUTE_LOAD_H_
