#include "kumquatgauge/serving/caller_authorizer.h"

#include <algorithm>
#include <utility>

namespace kumquatgauge::serving {
namespace {

using Outcome = Authorization::Outcome;

auto Unauthorized(std::string reason) -> Authorization {
  auto authorization = Authorization();
  authorization.outcome = Outcome::kUnauthorized;
  authorization.reason = std::move(reason);
  return authorization;
}

// The caller belongs to no organisation and needs none.
auto Anonymous() -> Authorization {
  auto authorization = Authorization();
  authorization.organisation = OrganisationName();
  return authorization;
}

}  // namespace

auto CallerAuthorizer::SetConfiguration(
    std::shared_ptr<const Configuration> configuration) -> void {
  configuration_ = std::move(configuration);
  owners_.clear();
  organisations_ = nullptr;
  const auto& organisations = configuration_->organisations;
  if (!organisations) {
    return;
  }
  organisations_ = &*organisations;
  for (std::size_t at = 0; at < organisations->size(); ++at) {
    for (const auto& key : (*organisations)[at].keys) {
      const auto [owner, added] = owners_.try_emplace(key, at);
      if (!added && owner->second != at) {
        owner->second.reset();
      }
    }
  }
}

auto CallerAuthorizer::AuthorizeRequest(const Route& route,
                                        const ApiKey& key) const
    -> Authorization {
  if (organisations_ == nullptr) {
    return {};
  }
  return route.is_public ? Anonymous() : AuthorizeKey(key);
}

auto CallerAuthorizer::AuthorizeJobCall(const std::string& host,
                                        const ApiKey& key) const
    -> Authorization {
  if (organisations_ == nullptr) {
    return {};
  }
  const auto& routes = configuration_->routes;
  const auto has_public_jobs =
      std::any_of(routes.begin(), routes.end(), [&](const Route& route) {
        return route.kind == RequestKind::kBatch && route.is_public &&
               route.host == host;
      });
  return key.presence == ApiKey::Presence::kMissing && has_public_jobs
             ? Anonymous()
             : AuthorizeKey(key);
}

auto CallerAuthorizer::AuthorizeKey(const ApiKey& key) const -> Authorization {
  switch (key.presence) {
    case ApiKey::Presence::kMissing:
      return Unauthorized("this route needs an API key; send one");
    case ApiKey::Presence::kMalformed:
      return Unauthorized("send exactly one API key, which is not empty");
    case ApiKey::Presence::kGiven:
      break;
  }
  // A key that is not known may have been added since.
  if (!is_fresh_()) {
    auto authorization = Authorization();
    authorization.outcome = Outcome::kStale;
    authorization.reason =
        "this node cannot show that its configuration is recent enough to "
        "accept API keys; try another node";
    return authorization;
  }
  const auto owner = owners_.find(key.value);
  if (owner == owners_.end()) {
    return Unauthorized("the API key is not known; ask the operator for one");
  }
  if (!owner->second) {
    return Unauthorized(
        "several organisations have this API key; ask the operator for one of "
        "your own");
  }
  const auto& organisation = organisations_->at(owner->second.value_or(0));
  auto authorization = Authorization();
  authorization.organisation = organisation.name;
  authorization.priority = organisation.priority;
  return authorization;
}

}  // namespace kumquatgauge::serving
