#ifndef KUMQUATGAUGE_SERVING_CALLER_AUTHORIZER_H_
#define KUMQUATGAUGE_SERVING_CALLER_AUTHORIZER_H_

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "kumquatgauge/serving/configuration.h"
#include "kumquatgauge/serving/dialect.h"

namespace kumquatgauge::serving {

// Whether a call may go on, and for whom.
struct Authorization {
  enum class Outcome {
    kAllowed,
    kUnauthorized,  // The key names no organisation.
    // This node cannot show that it knows all removals of keys; another node,
    // or this one later, may serve the call.
    kStale,
  };

  Outcome outcome = Outcome::kAllowed;
  // As in Delivery::organisation.
  std::optional<OrganisationName> organisation;
  std::uint32_t priority = 0;
  std::string reason;  // Of a refusal.

  auto operator==(const Authorization&) const -> bool = default;
};

// Finds the organisation of a call by its API key. In a configuration without
// organisations all calls are allowed and belong to nobody.
class CallerAuthorizer {
 public:
  // `is_fresh` returns whether the configuration is recent enough to show that
  // no key has been removed too long ago.
  explicit CallerAuthorizer(std::function<auto()->bool> is_fresh)
      : is_fresh_(std::move(is_fresh)) {}

  auto SetConfiguration(std::shared_ptr<const Configuration> configuration)
      -> void;

  // Decides on a request to a route.
  auto AuthorizeRequest(const Route& route, const ApiKey& key) const
      -> Authorization;
  // Decides on a call about a batch job, which names no route. Without a key it
  // is allowed if `host` has a public route of batch jobs: then it can only
  // name jobs that were submitted there.
  auto AuthorizeJobCall(const std::string& host, const ApiKey& key) const
      -> Authorization;

 private:
  auto AuthorizeKey(const ApiKey& key) const -> Authorization;

  std::function<auto()->bool> is_fresh_;
  std::shared_ptr<const Configuration> configuration_;
  // Those of the configuration; null if it has none.
  const std::vector<Organisation>* organisations_ = nullptr;
  // Index of each key's organisation; nothing for a key of several ones, which
  // identifies none of them.
  std::map<std::string, std::optional<std::size_t>, std::less<>> owners_;
};

}  // namespace kumquatgauge::serving

#endif  // KUMQUATGAUGE_SERVING_CALLER_AUTHORIZER_H_
