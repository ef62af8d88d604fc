#ifndef TESTING_SOAK_ORGANISATION_LOAD_H_
#define TESTING_SOAK_ORGANISATION_LOAD_H_

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "testing/gateway/fake_servers.h"
#include "testing/gateway/gateway_process.h"

namespace kumquatgauge::testing {

// Requests of an organisation whose keys are removed during the soak and which
// sends more than its limit, and the checks of what is promised for them.
class OrganisationLoad {
 public:
  using Time = std::chrono::steady_clock::time_point;

  // How long after its removal a key may still work.
  static constexpr std::chrono::milliseconds kMaxConfigurationAge{3'000};

  // `node` returns a gateway by a random number.
  explicit OrganisationLoad(
      std::function<auto(std::uint64_t)->const GatewayProcess&> node)
      : node_(std::move(node)) {}

  // Adds the organisation to a configuration, whose routes become public except
  // one. The key of a version is removed by the second one after it.
  static auto AddTo(nlohmann::json& configuration, int version) -> void;
  // To be called once the store has acknowledged a version.
  auto OnVersionStored(int version) -> void;
  // To be called when a request begins to run at a replica.
  auto OnStarted(const std::string& request) -> void;
  // Sends requests until `done`; for one thread.
  auto Run(std::uint64_t seed, const std::atomic<bool>& done) -> void;
  // To be called when nothing runs any more. Returns what was broken.
  auto Violations(const std::vector<const FakeReplica*>& replicas) const
      -> std::vector<std::string>;
  auto runs() const -> std::size_t;

 private:
  struct Request {
    Time sent;
    std::string key;
    std::vector<Time> starts;  // At replicas.
  };

  auto IsRemoved(const Request& request) const -> bool;
  auto QuotaViolation() const -> std::string;

  std::function<auto(std::uint64_t)->const GatewayProcess&> node_;
  mutable std::mutex mutex_;
  int version_ = 0;
  std::map<std::string, Time> removed_;  // By key.
  std::map<std::string, Request> requests_;
};

}  // namespace kumquatgauge::testing

#endif  // TESTING_SOAK_ORGANISATION_LOAD_H_
