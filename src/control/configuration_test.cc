#include "kumquatgauge/control/configuration.h"

#include <catch2/catch.hpp>

#include "kumquatgauge/base/error.h"

namespace kumquatgauge::control {
namespace {

using Catch::Contains;
using nlohmann::json;

auto With(const Configuration& configuration,
          const std::string& key,
          const json& value) -> Configuration {
  const auto revision = configuration.revision();
  return configuration.Apply(
      {.from = revision,
       .to = revision + 1,
       .changes = {{.key = key, .value = value, .revision = revision + 1}}});
}

// Returns the error message for an invalid value.
auto Refusal(const std::string& key, const json& value) -> std::string {
  try {
    Configuration::CheckValue(EntryKey::Parse(key), value);
  } catch (const Error& error) {
    CHECK(error.kind() == ErrorKind::kInvalidArgument);
    return error.what();
  }
  return "accepted";
}

const auto kUpstream = json{{"service", "chat"},
                            {"address", "10.0.0.1:80"},
                            {"zone", "z1"},
                            {"desired_models", {"b@2", "a@1", "a@1"}}};

TEST_CASE("Configuration.AppliesOnlyHigherRevisions") {
  const auto one = With({}, "setting/a", {{"x", 1}});
  const auto two = With(one, "setting/a", {{"x", 2}});
  CHECK(two.Apply(one.ChangesSince(0)) == two);
  CHECK(one.Apply(two.ChangesSince(1)) == two);
  CHECK(Configuration().Apply(two.ChangesSince(0)) == two);
}

// Guards against a peer that silently skips changes.
TEST_CASE("Configuration.RefusesADeltaWithAGap") {
  const auto delta = ConfigDelta{.from = 5, .to = 6, .changes = {}};
  CHECK_THROWS_AS(Configuration().Apply(delta), Error);
}

// Guards against a removed entry that remains in effect on a peer.
TEST_CASE("Configuration.PassesOnRemovals") {
  const auto one = With({}, "setting/a", {{"x", 1}});
  auto last = With(one, "setting/a", nullptr);
  CHECK(last.Find("setting/a") == nullptr);
  CHECK(one.Apply(last.ChangesSince(1)).Find("setting/a") == nullptr);
  for (std::uint64_t i = 0; i < kTombstoneRevisions; ++i) {
    last = With(last, "setting/b", {{"n", i}});
  }
  CHECK(last.entries().count("setting/a") == 0);
  const auto delta = last.ChangesSince(1);
  CHECK(delta.from == 0);
  CHECK(one.Apply(delta) == last);
}

TEST_CASE("Configuration.DeltaReadsBackFromJson") {
  const auto one = With({}, "setting/a", {{"x", 1}});
  const auto delta = With(one, "setting/a", nullptr).ChangesSince(0);
  CHECK(ParseConfigDelta(ToJson(delta)) == delta);
}

TEST_CASE("Configuration.GivesTypedViews") {
  auto configuration =
      With({}, "service/chat",
           {{"kind", "model"}, {"lean", 0.25}, {"batch_rule", "idle-only"}});
  configuration = With(configuration, "upstream/r1", kUpstream);
  configuration =
      With(configuration, "organisation/bar", {{"limits", {{"in_flight", 9}}}});
  const auto service = configuration.FindService(ServiceName("chat"));
  REQUIRE(service.has_value());
  CHECK(service->repeatable);
  CHECK(service->lean == 0.25);
  CHECK(service->batch_rule == BatchRule::kIdleOnly);
  const auto upstreams = configuration.UpstreamsOf(ServiceName("chat"));
  REQUIRE(upstreams.size() == 1);
  CHECK(upstreams.front().desired_models ==
        std::vector<std::string>{"a@1", "b@2"});
  CHECK(configuration.FindOrganisation(OrganisationName("bar"))
            .limits.in_flight == 9);
  CHECK(configuration.FindOrganisation(OrganisationName("new")).weight == 1);
}

// Guards against plain services, such as payments, being repeatable by default.
TEST_CASE("Configuration.PlainServiceIsNotRepeatableByDefault") {
  CHECK_FALSE(ParseService("pay", {{"kind", "plain"}}).repeatable);
}

// Guards against error messages without the field, its value or the remedy.
TEST_CASE("Configuration.RefusalNamesFieldFoundAndAllowed") {
  CHECK_THAT(Refusal("service/s", {{"kind", "model"}, {"lean", 1.5}}),
             Contains("lean is 1.5: service/s; use a number from 0"));
  CHECK_THAT(Refusal("service/s", {{"kind", "modle"}}),
             Contains("kind is \"modle\"") && Contains("use model or plain"));
  CHECK_THAT(Refusal("service/s", json::object()), Contains("kind is missing"));
  CHECK_THAT(Refusal("service/s", {{"kind", "model"}, {"leen", 1}}),
             Contains("unknown field leen") && Contains("lean"));
  CHECK_THAT(Refusal("service/s", {{"kind", "model"}, {"deadline_ms", 0.5}}),
             Contains("deadline_ms is 0.5") && Contains("an integer from 1"));
  CHECK_THAT(Refusal("service/s", 3), Contains("value is number"));
  CHECK_THAT(Refusal("upstream/u", {{"service", "s"}}),
             Contains("address is missing"));
  auto upstream = kUpstream;
  upstream["address"] = "host";
  CHECK_THAT(Refusal("upstream/u", upstream),
             Contains("address is \"host\"") && Contains("IP:port"));
  upstream = kUpstream;
  upstream["desired_models"] = {"a"};
  CHECK_THAT(Refusal("upstream/u", upstream), Contains("MODEL@VERSION"));
  CHECK_THAT(Refusal("organisation/o", {{"limits", {{"in_flite", 1}}}}),
             Contains("unknown field in_flite"));
  CHECK_THROWS_WITH(EntryKey::Parse("server/x"), Contains("use KIND/NAME"));
  CHECK_THROWS_WITH(EntryKey::Parse("model/a b"), Contains("bad name"));
}

// Guards against upstreams whose service does not exist.
TEST_CASE("Configuration.RejectsDanglingReferences") {
  const auto upstream = EntryKey::Parse("upstream/r1");
  const auto service = EntryKey::Parse("service/chat");
  CHECK_THROWS_AS(Configuration().CheckReferences(upstream, kUpstream), Error);
  auto configuration = With({}, "service/chat", {{"kind", "model"}});
  configuration.CheckReferences(upstream, kUpstream);
  configuration.CheckReferences(service, nullptr);
  configuration = With(configuration, "upstream/r1", kUpstream);
  CHECK_THROWS_AS(configuration.CheckReferences(service, nullptr), Error);
}

// Guards against a node that fails on an entry of a newer release.
TEST_CASE("Configuration.LeavesOutEntriesItCannotRead") {
  auto configuration = With({}, "service/old", {{"kind", "model"}});
  configuration = With(configuration, "service/new", {{"kind", "stateful"}});
  configuration =
      With(configuration, "service/more", {{"kind", "model"}, {"new", 1}});
  CHECK(configuration.Services().size() == 2);
  REQUIRE(configuration.Problems().size() == 1);
  CHECK_THAT(configuration.Problems().front(), Contains("service/new"));
}

}  // namespace
}  // namespace kumquatgauge::control
