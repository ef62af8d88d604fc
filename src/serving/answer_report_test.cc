#include "kumquatgauge/serving/answer_report.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "testing/support/manual_clock.h"

namespace kumquatgauge::serving {
namespace {

struct Fixture {
  Fixture() {
    replica.id = ReplicaId("r1");
    replica.service = ServiceName("chat");
  }

  auto Report(const AnswerMetadata& metadata, bool names_weights = false)
      -> void {
    ReportAnswer(replica, metadata, names_weights, logger, balancer, hooks);
  }

  routing::Replica replica;
  Logger logger{"test"};
  testing::ManualClock clock;
  LoadBalancer balancer{LoadBalancerSettings(), ZoneName("a"), clock.AsHook(),
                        [] { return 0; }};
  std::vector<std::string> leaving;
  AnswerHooks hooks{.counts_changed = [] {},
                    .replica_leaves =
                        [this](const routing::Replica& replica) {
                          leaving.push_back(replica.id.value());
                        }};
};

// Guards against a replica that is used although an answer of any kind, also
// one that refuses the request, says that it leaves.
TEST_CASE("AnswerReport.TellsThatAReplicaLeavesWhateverItsAnswer") {
  auto fixture = Fixture();
  fixture.Report({.leaving = true});
  fixture.Report({.not_run = true, .leaving = true});
  fixture.Report({.permanent_failure = true, .leaving = true});
  CHECK(fixture.leaving == std::vector<std::string>(3, "r1"));
  fixture.Report({});
  fixture.Report({.malformed_leaving = true});
  CHECK(fixture.leaving.size() == 3);
}

// Guards against sound replicas that nobody uses any more because one request
// named a version of the weights that they do not have, and against requests to
// an address that another replica uses.
TEST_CASE("AnswerReport.TakesOnlyAnotherReplicaAtTheAddressForGone") {
  auto fixture = Fixture();
  fixture.balancer.SetReplicas({fixture.replica});
  fixture.Report({.misdirected = true}, true);
  CHECK(fixture.balancer.TakesRequests(fixture.replica.id));
  fixture.Report({.misdirected = true}, false);
  CHECK_FALSE(fixture.balancer.TakesRequests(fixture.replica.id));
}

// Guards against a load of the host that does not reach the choice of replicas.
TEST_CASE("AnswerReport.PassesOnTheLoadOfAReplicasHost") {
  auto fixture = Fixture();
  auto other = fixture.replica;
  other.id = ReplicaId("r2");
  fixture.balancer.SetReplicas({fixture.replica, other});
  fixture.Report({.has_load = true, .host_load = 1.6});
  auto request = ChoiceRequest();
  request.service = fixture.replica.service;
  const auto choice = fixture.balancer.Choose(request);
  REQUIRE(choice.replica.has_value());
  CHECK(choice.replica.value_or(fixture.replica).id == other.id);
}

// Guards against a replica that is taken for leaving because another one, which
// uses its address now, leaves.
TEST_CASE("AnswerReport.IgnoresThatAnotherReplicaAtTheAddressLeaves") {
  auto fixture = Fixture();
  const auto other =
      AnswerMetadata{.not_run = true, .misdirected = true, .leaving = true};
  fixture.Report(other);
  ReportSkippedAnswer(fixture.replica, other, fixture.hooks);
  CHECK(fixture.leaving.empty());
}

// Guards against the same as the first for an answer to an earlier request,
// which arrives late on a kept connection.
TEST_CASE("AnswerReport.TellsThatAReplicaLeavesByASkippedAnswer") {
  auto fixture = Fixture();
  ReportSkippedAnswer(fixture.replica, {.request_id = "earlier"},
                      fixture.hooks);
  CHECK(fixture.leaving.empty());
  ReportSkippedAnswer(fixture.replica,
                      {.request_id = "earlier", .leaving = true},
                      fixture.hooks);
  CHECK(fixture.leaving == std::vector<std::string>{"r1"});
}

// Guards against an earlier refusal that a replica writes once more on a kept
// connection and that is taken for the answer to a request which runs there.
TEST_CASE("AnswerReport.TellsAnswersToEarlierRequestsApart") {
  const auto belongs = [](const std::string& id, const std::string& named,
                          int status, bool first) {
    return IsAnswerTo(id, {.request_id = named}, {status, {}, first});
  };
  for (const auto first : {false, true}) {
    for (const auto status : {200, 421, 429, 503}) {
      CHECK(belongs("q2", "q2", status, first));
      CHECK_FALSE(belongs("q2", "q1", status, first));
    }
  }
  for (const auto status : {400, 421, 429, 500, 503}) {
    CHECK(belongs("q2", "", status, true));
    CHECK_FALSE(belongs("q2", "", status, false));
    CHECK_FALSE(belongs("", "", status, false));
  }
  CHECK(belongs("", "", 200, true));
  CHECK_FALSE(belongs("q2", "", 200, true));
}

}  // namespace
}  // namespace kumquatgauge::serving
