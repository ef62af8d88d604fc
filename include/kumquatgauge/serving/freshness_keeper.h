#ifndef KUMQUATGAUGE_SERVING_FRESHNESS_KEEPER_H_
#define KUMQUATGAUGE_SERVING_FRESHNESS_KEEPER_H_

#include <boost/asio/any_io_executor.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

#include "kumquatgauge/base/metrics.h"
#include "kumquatgauge/base/time.h"
#include "kumquatgauge/routing/replica.h"
#include "kumquatgauge/serving/configuration.h"
#include "kumquatgauge/store/object_store.h"

namespace kumquatgauge::serving {

// Dependencies of the freshness keeper; all must outlive it.
struct FreshnessKeeperParts {
  boost::asio::any_io_executor executor;
  store::ObjectStore& store;
  std::string configuration_key;
  MetricsRegistry& metrics;
  // Goes on while the host is suspended.
  Clock clock;
  RandomSource random;
  NodeId self;
  // Returns the live members, including this node.
  std::function<auto()->std::vector<routing::NodeInfo>> live;
  // Returns the address of a member for other nodes.
  std::function<auto(const NodeId&)->std::optional<std::string>> address_of;
  std::function<
      auto(const std::string& address, const nlohmann::json& message)->void>
      send_datagram;
  // Applies a value of the store if it is newer, and returns its version;
  // nothing if it cannot be decoded, or differs from the configuration in force
  // under the same version.
  std::function<auto(const std::string& value)->std::optional<std::uint64_t>>
      apply;
  // Absent: the configuration may have any age.
  std::optional<std::chrono::milliseconds> max_age;
};

// Knows whether the configuration is recent enough to accept API keys: carries
// out what ConfigurationFreshness decides, with the store and the other nodes.
// Sends nothing without `max_age` or while the configuration has no
// organisations.
class FreshnessKeeper {
 public:
  explicit FreshnessKeeper(FreshnessKeeperParts parts);
  ~FreshnessKeeper();
  FreshnessKeeper(const FreshnessKeeper&) = delete;
  auto operator=(const FreshnessKeeper&) -> FreshnessKeeper& = delete;

  // Must be called for each configuration that is applied.
  auto SetConfiguration(const Configuration& configuration) -> void;
  // Always true without `max_age`.
  auto IsFresh() const -> bool;
  auto OnDatagram(const NodeId& from, const nlohmann::json& message) -> void;
  // Must be called before this node lists the configuration for another
  // purpose, and with the listed value after it was applied.
  auto OnListBegun() -> void;
  auto OnListed(std::uint64_t version) -> void;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

// The type of the datagrams between instances of FreshnessKeeper.
inline constexpr auto kFreshnessDatagram = "fresh";

}  // namespace kumquatgauge::serving

#endif  // KUMQUATGAUGE_SERVING_FRESHNESS_KEEPER_H_
