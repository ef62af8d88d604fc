#include "kumquatgauge/serving/caller_authorizer.h"

#include <catch2/catch.hpp>

namespace kumquatgauge::serving {
namespace {

using Outcome = Authorization::Outcome;
using Presence = ApiKey::Presence;

auto MakeOrganisation(const std::string& name, std::vector<std::string> keys)
    -> Organisation {
  auto organisation = Organisation();
  organisation.name = OrganisationName(name);
  organisation.keys = std::move(keys);
  return organisation;
}

auto MakeRoute(const std::string& prefix, RequestKind kind, bool is_public)
    -> Route {
  auto route = Route();
  route.host = "h.example";
  route.path_prefix = prefix;
  route.kind = kind;
  route.is_public = is_public;
  return route;
}

auto MakeConfiguration(std::optional<std::vector<Organisation>> organisations)
    -> std::shared_ptr<const Configuration> {
  auto configuration = std::make_shared<Configuration>();
  configuration->version = 1;
  configuration->routes = {MakeRoute("/a/", RequestKind::kStream, false),
                           MakeRoute("/open/", RequestKind::kIdempotent, true),
                           MakeRoute("/jobs/", RequestKind::kBatch, false)};
  configuration->organisations = std::move(organisations);
  return configuration;
}

auto Given(const std::string& key) -> ApiKey {
  return {Presence::kGiven, key};
}

struct Fixture {
  explicit Fixture(std::optional<std::vector<Organisation>> organisations)
      : configuration(MakeConfiguration(std::move(organisations))) {
    authorizer.SetConfiguration(configuration);
  }

  auto Authorize(const ApiKey& key) const -> Authorization {
    return authorizer.AuthorizeRequest(configuration->routes[0], key);
  }

  bool fresh = true;
  std::shared_ptr<const Configuration> configuration;
  CallerAuthorizer authorizer{[this] { return fresh; }};
};

// Guards against a key of one organisation that is served as another one.
TEST_CASE("CallerAuthorizer.FindsTheOrganisationOfAKey") {
  auto urgent = MakeOrganisation("b", {"k3"});
  urgent.priority = 2;
  const auto fixture = Fixture({{MakeOrganisation("a", {"k1", "k2"}), urgent}});
  CHECK(fixture.Authorize(Given("k1")).organisation == OrganisationName("a"));
  CHECK(fixture.Authorize(Given("k2")).organisation == OrganisationName("a"));
  const auto other = fixture.Authorize(Given("k3"));
  CHECK(other.organisation == OrganisationName("b"));
  CHECK(other.priority == 2);
}

// Guards against requests that run without a key that some configuration held.
TEST_CASE("CallerAuthorizer.RefusesKeysThatNameNobody") {
  const auto fixture =
      Fixture({{MakeOrganisation("a", {"k1"}), MakeOrganisation("b", {})}});
  for (const auto& key :
       {Given("k9"), Given("K1"), Given("a"), ApiKey{Presence::kMissing, ""},
        ApiKey{Presence::kMalformed, ""}}) {
    const auto authorization = fixture.Authorize(key);
    CHECK(authorization.outcome == Outcome::kUnauthorized);
    CHECK_FALSE(authorization.organisation);
    CHECK_FALSE(authorization.reason.empty());
  }
}

// Guards against a key of two organisations that names either of them.
TEST_CASE("CallerAuthorizer.RefusesAKeyOfSeveralOrganisations") {
  const auto fixture = Fixture({{MakeOrganisation("a", {"k1", "both", "k1"}),
                                 MakeOrganisation("b", {"both"})}});
  CHECK(fixture.Authorize(Given("both")).outcome == Outcome::kUnauthorized);
  CHECK(fixture.Authorize(Given("k1")).outcome == Outcome::kAllowed);
}

// Guards against keys that are asked for where the operator asks for none.
TEST_CASE("CallerAuthorizer.NeedsNoKeyOnPublicRoutes") {
  const auto fixture = Fixture({{MakeOrganisation("a", {"k1"})}});
  for (const auto& key : {ApiKey(), Given("k9")}) {
    const auto authorization = fixture.authorizer.AuthorizeRequest(
        fixture.configuration->routes[1], key);
    CHECK(authorization.outcome == Outcome::kAllowed);
    CHECK(authorization.organisation == OrganisationName());
  }
}

// Guards against a change for deployments without organisations, whose callers
// may use these headers for something else.
TEST_CASE("CallerAuthorizer.ChangesNothingWithoutOrganisations") {
  auto fixture = Fixture(std::nullopt);
  fixture.fresh = false;
  CHECK(fixture.Authorize(ApiKey()) == Authorization());
  CHECK(fixture.Authorize(Given("k1")) == Authorization());
  CHECK(fixture.authorizer.AuthorizeJobCall("h.example", ApiKey()) ==
        Authorization());
}

// Guards against a key that is served after its removal by a node that has not
// heard of it, and against a 401 for a key that was added since.
TEST_CASE("CallerAuthorizer.RefusesAllKeysWhileTheConfigurationIsStale") {
  auto fixture = Fixture({{MakeOrganisation("a", {"k1"})}});
  fixture.fresh = false;
  CHECK(fixture.Authorize(Given("k1")).outcome == Outcome::kStale);
  CHECK(fixture.Authorize(Given("k9")).outcome == Outcome::kStale);
  CHECK(fixture.authorizer
            .AuthorizeRequest(fixture.configuration->routes[1], Given("k1"))
            .outcome == Outcome::kAllowed);
}

// Guards against a removed key that still works after a new configuration.
TEST_CASE("CallerAuthorizer.ForgetsKeysOfEarlierConfigurations") {
  auto fixture = Fixture({{MakeOrganisation("a", {"k1"})}});
  fixture.authorizer.SetConfiguration(
      MakeConfiguration({{MakeOrganisation("a", {"k2"})}}));
  CHECK(fixture.Authorize(Given("k1")).outcome == Outcome::kUnauthorized);
  CHECK(fixture.Authorize(Given("k2")).outcome == Outcome::kAllowed);
}

// Guards against job calls without a key where no job can belong to nobody.
TEST_CASE("CallerAuthorizer.NeedsAKeyForJobCalls") {
  auto fixture = Fixture({{MakeOrganisation("a", {"k1"})}});
  const auto& authorizer = fixture.authorizer;
  CHECK(authorizer.AuthorizeJobCall("h.example", Given("k1")).organisation ==
        OrganisationName("a"));
  CHECK(authorizer.AuthorizeJobCall("h.example", ApiKey()).outcome ==
        Outcome::kUnauthorized);
  auto with_public = std::make_shared<Configuration>(*fixture.configuration);
  with_public->routes.push_back(
      MakeRoute("/open-jobs/", RequestKind::kBatch, true));
  fixture.authorizer.SetConfiguration(with_public);
  CHECK(authorizer.AuthorizeJobCall("h.example", ApiKey()).organisation ==
        OrganisationName());
  CHECK(authorizer.AuthorizeJobCall("other.example", ApiKey()).outcome ==
        Outcome::kUnauthorized);
}

}  // namespace
}  // namespace kumquatgauge::serving
