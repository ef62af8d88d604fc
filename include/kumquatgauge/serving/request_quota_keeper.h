#ifndef KUMQUATGAUGE_SERVING_REQUEST_QUOTA_KEEPER_H_
#define KUMQUATGAUGE_SERVING_REQUEST_QUOTA_KEEPER_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "kumquatgauge/base/metrics.h"
#include "kumquatgauge/base/time.h"
#include "kumquatgauge/routing/replica.h"
#include "kumquatgauge/serving/configuration.h"
#include "kumquatgauge/serving/request_quota.h"
#include "kumquatgauge/serving/request_rate_account.h"

namespace kumquatgauge::serving {

// Dependencies of the request quota keeper; all must outlive it.
struct RequestQuotaKeeperParts {
  boost::asio::any_io_executor executor;
  MetricsRegistry& metrics;
  Clock clock;
  RandomSource random;
  // See RequestQuota.
  std::uint64_t first_sequence = 0;
  NodeId self;
  // Returns the live members, including this node.
  std::function<auto()->std::vector<routing::NodeInfo>> live;
  // Returns the number of members that have not left as planned, live and dead.
  std::function<auto()->std::size_t> known_nodes;
  // Whether this node hears no other one though there may be some.
  std::function<auto()->bool> isolated;
  std::function<
      auto(const std::string& address, const nlohmann::json& message)->void>
      send_datagram;
};

// Applies the limits of the online requests of organisations over all nodes:
// carries out what RequestQuota and RequestRateAccounts decide, by datagrams.
class RequestQuotaKeeper {
 public:
  explicit RequestQuotaKeeper(RequestQuotaKeeperParts parts);
  ~RequestQuotaKeeper();
  RequestQuotaKeeper(const RequestQuotaKeeper&) = delete;
  auto operator=(const RequestQuotaKeeper&) -> RequestQuotaKeeper& = delete;

  auto SetConfiguration(const Configuration& configuration) -> void;
  auto OnMembersChanged() -> void;
  // Whether OnDatagram handles datagrams of this type.
  static auto Handles(std::string_view type) -> bool;
  // Throws an exception for a malformed datagram.
  auto OnDatagram(const nlohmann::json& message) -> void;

  // Decides whether a request may be forwarded.
  auto Reserve(OrganisationName organisation)
      -> boost::asio::awaitable<RequestQuotaDecision>;
  // For a request that was granted with reason kGranted and has not run.
  auto Refund(const OrganisationName& organisation) -> void;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace kumquatgauge::serving

#endif  // KUMQUATGAUGE_SERVING_REQUEST_QUOTA_KEEPER_H_
