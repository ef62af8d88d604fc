#include "testing/soak/organisation_load.h"

#include <algorithm>
#include <random>
#include <thread>
#include <utility>

#include "testing/scenario/http_fetch.h"

namespace kumquatgauge::testing {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr auto kOrganisation = "org";
constexpr auto kRequestPrefix = "keyed-";
constexpr auto kPath = "/keyed/";
// Well below what the callers send.
constexpr double kRate = 20;
constexpr double kBurst = 20;
// What the users allow in each window of this length.
constexpr milliseconds kWindow{5'000};
constexpr double kAllowedInWindow = (kRate * 5 + kBurst) * 1.1 + 20;
constexpr milliseconds kPause{20};
// Removed keys are used, too.
constexpr int kOldestKey = 6;

auto KeyOf(int version) -> std::string {
  return "key-" + std::to_string(version);
}

}  // namespace

auto OrganisationLoad::AddTo(json& configuration, int version) -> void {
  for (auto& route : configuration.at("routes")) {
    route["public"] = true;
  }
  configuration.at("routes").push_back(
      MakeRoute(kPath, "safe", {{"name", "keyed"}}));
  configuration["tenants"] = {
      {{"name", kOrganisation},
       {"api_keys", {KeyOf(version), KeyOf(version - 1)}},
       {"rate_per_s", kRate},
       {"burst", kBurst}}};
}

auto OrganisationLoad::OnVersionStored(int version) -> void {
  const auto lock = std::lock_guard(mutex_);
  version_ = version;
  removed_.try_emplace(KeyOf(version - 2), std::chrono::steady_clock::now());
}

auto OrganisationLoad::OnStarted(const std::string& request) -> void {
  if (!request.starts_with(kRequestPrefix)) {
    return;
  }
  const auto lock = std::lock_guard(mutex_);
  requests_[request].starts.push_back(std::chrono::steady_clock::now());
}

auto OrganisationLoad::Run(std::uint64_t seed, const std::atomic<bool>& done)
    -> void {
  auto random = std::mt19937_64(seed);
  for (auto number = 0; !done; ++number) {
    const auto id =
        kRequestPrefix + std::to_string(seed) + "-" + std::to_string(number);
    auto request = FetchRequest();
    {
      const auto lock = std::lock_guard(mutex_);
      // The newest key half of the time, otherwise an earlier one.
      const auto age =
          random() % 2 == 0 ? 0 : static_cast<int>(random() % kOldestKey);
      auto& entry = requests_[id];
      entry.key = KeyOf(version_ - age);
      entry.sent = std::chrono::steady_clock::now();
      request.headers["X-Api-Key"] = entry.key;
    }
    const auto& node = node_(random());
    request.address = node.callers();
    request.method = "POST";
    request.target = std::string(kPath) + "1";
    request.headers["Host"] = kGatewayHost;
    request.headers["Request-Id"] = id;
    request.headers["Tenant"] = "forged";
    Fetch(request);
    std::this_thread::sleep_for(kPause);
  }
}

auto OrganisationLoad::IsRemoved(const Request& request) const -> bool {
  const auto removed = removed_.find(request.key);
  return removed != removed_.end() &&
         request.sent > removed->second + kMaxConfigurationAge;
}

auto OrganisationLoad::QuotaViolation() const -> std::string {
  for (const auto& [first, begin] : requests_) {
    auto in_window = 0;
    for (const auto& [id, request] : requests_) {
      for (const auto& start : request.starts) {
        in_window += request.sent >= begin.sent && start >= begin.sent &&
                             start <= begin.sent + kWindow
                         ? 1
                         : 0;
      }
    }
    if (in_window > kAllowedInWindow) {
      return std::to_string(in_window) +
             " requests of an organisation ran within 5 s from " + first;
    }
  }
  return "";
}

auto OrganisationLoad::Violations(
    const std::vector<const FakeReplica*>& replicas) const
    -> std::vector<std::string> {
  const auto lock = std::lock_guard(mutex_);
  auto violations = std::vector<std::string>();
  for (const auto& [id, request] : requests_) {
    if (IsRemoved(request) && !request.starts.empty()) {
      violations.push_back(id + " ran with " + request.key +
                           ", which had been removed for too long");
    }
    for (const auto* replica : replicas) {
      const auto headers = replica->HeadersOf(id);
      if (!headers.empty() && (FindHeader(headers, "Tenant") != kOrganisation ||
                               !FindHeader(headers, "X-Api-Key").empty())) {
        violations.push_back(id + " reached a replica with the wrong headers");
      }
    }
  }
  if (auto violation = QuotaViolation(); !violation.empty()) {
    violations.push_back(std::move(violation));
  }
  return violations;
}

auto OrganisationLoad::runs() const -> std::size_t {
  const auto lock = std::lock_guard(mutex_);
  return static_cast<std::size_t>(std::count_if(
      requests_.begin(), requests_.end(),
      [](const auto& entry) { return !entry.second.starts.empty(); }));
}

}  // namespace kumquatgauge::testing
