#include "kumquatgauge/operator/command_executor.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "kumquatgauge/base/error.h"
#include "testing/support/manual_clock.h"

namespace kumquatgauge::operators {
namespace {

class FakeBackend : public OperatorBackend {
 public:
  auto kinds() const -> std::vector<std::string> override { return {"jobs"}; }
  auto Rows(const std::string& /*kind*/, std::vector<std::string> /*names*/)
      -> boost::asio::awaitable<nlohmann::json> override {
    co_return nlohmann::json::parse(R"([{"id":"a","due":3,"org":"x"},
        {"id":"b","due":1,"org":"y"},{"id":"c","due":2,"org":"x"}])");
  }
  auto Explain(std::string kind, std::vector<std::string> /*names*/)
      -> boost::asio::awaitable<nlohmann::json> override {
    co_return nlohmann::json{{"kind", kind}};
  }
  auto Preview(ConfigurationChange change)
      -> boost::asio::awaitable<ChangeResult> override {
    co_return ChangeResult{
        .revision_before = 4,
        .revision = 4,
        .before = {{"lean", 0.5}, {"kind", "model"}},
        .after = {{"lean", change.fields["lean"]}, {"kind", "model"}}};
  }
  auto Change(ConfigurationChange change)
      -> boost::asio::awaitable<ChangeResult> override {
    changes.push_back(change);
    co_return ChangeResult{.revision_before = 4,
                           .revision = 5,
                           .before = nullptr,
                           .after = change.fields};
  }
  auto CancelJob(std::string job, std::string /*operator_name*/)
      -> boost::asio::awaitable<nlohmann::json> override {
    co_return nlohmann::json{{"id", job}, {"status", "cancelled"}};
  }
  auto DrainNode(std::string node)
      -> boost::asio::awaitable<nlohmann::json> override {
    co_return nlohmann::json{{"name", node}};
  }
  auto RevisionsInForce()
      -> boost::asio::awaitable<std::vector<NodeRevision>> override {
    ++polls;
    co_return std::vector<NodeRevision>{
        {NodeId("n1"), 5}, {NodeId("n2"), polls > polls_until_applied ? 5 : 4}};
  }
  auto RegisteredNodes()
      -> boost::asio::awaitable<std::vector<NodeId>> override {
    if (registry_unavailable) {
      throw Error(ErrorKind::kUnavailable, "no answer", "platform",
                  "try again");
    }
    co_return std::vector<NodeId>{NodeId("n1"), NodeId("n2"), NodeId("n3")};
  }
  auto NodesNotHeardOf(const std::vector<NodeId>& registered) const
      -> std::vector<std::string> override {
    CHECK(registered.size() == (registry_unavailable ? 0U : 3U));
    return polls > polls_until_member ? std::vector<std::string>()
                                      : std::vector<std::string>{"n3"};
  }
  auto SetLogLevel(const std::string& level) -> void override {
    log_level = level;
  }

  std::vector<ConfigurationChange> changes;
  std::string log_level;
  int polls = 0;
  int polls_until_applied = 2;
  int polls_until_member = 0;
  bool registry_unavailable = false;
};

class Fixture {
 public:
  auto Run(const std::string& line, OperatorRole role = OperatorRole::kChange)
      -> nlohmann::json {
    auto executor =
        CommandExecutor(backend, clock.AsHook(), [this](Duration duration) {
          clock.Advance(duration);
          return ReturnImmediately();
        });
    auto context = boost::asio::io_context();
    auto answer = nlohmann::json();
    auto failure = std::exception_ptr();
    boost::asio::co_spawn(
        context,
        executor.Run(line,
                     {.credential = {.name = "ana", .role = role, .token = "t"},
                      .address = "127.0.0.1",
                      .operation_id = "op1"}),
        [&](std::exception_ptr error, nlohmann::json result) {
          failure = std::move(error);
          answer = std::move(result);
        });
    context.run();
    if (failure) {
      std::rethrow_exception(failure);
    }
    return answer;
  }

  static auto ReturnImmediately() -> boost::asio::awaitable<void> { co_return; }

  FakeBackend backend;
  testing::ManualClock clock;
};

TEST_CASE("CommandExecutor.FiltersOrdersAndLimitsRows") {
  const auto answer =
      Fixture().Run("show jobs where org = x order by due limit 1");
  CHECK(answer["rows"] ==
        nlohmann::json::parse(R"([{"id":"c","due":2,"org":"x"}])"));
}

// Guards against an empty result that hides a misspelt field.
TEST_CASE("CommandExecutor.NamesKnownFieldsForUnknownField") {
  CHECK_THROWS_WITH(Fixture().Run("show jobs where orgg = x"),
                    "unknown field: orgg; use one of due id org");
}

TEST_CASE("CommandExecutor.RefusesChangeByReader") {
  auto fixture = Fixture();
  CHECK_THROWS_AS(fixture.Run("set service s lean = 1", OperatorRole::kRead),
                  Error);
  CHECK(fixture.backend.changes.empty());
}

TEST_CASE("CommandExecutor.DryRunShowsDifferenceAndChangesNothing") {
  auto fixture = Fixture();
  const auto answer = fixture.Run("set service s lean = 1 --dry-run");
  CHECK(answer["rows"] ==
        nlohmann::json::parse(R"([{"field":"lean","before":0.5,"after":1}])"));
  CHECK(fixture.backend.changes.empty());
}

TEST_CASE("CommandExecutor.WaitEndsWhenEveryNodeHasTheRevision") {
  const auto answer = Fixture().Run("set service s lean = 1 --wait");
  CHECK(answer["in_force"]["everywhere"] == true);
  CHECK(answer["in_force"]["waited_ms"] == 200);
}

TEST_CASE("CommandExecutor.WaitNamesLaggingNodesAfterTheLimit") {
  auto fixture = Fixture();
  fixture.backend.polls_until_applied = 1'000'000;
  const auto answer = fixture.Run("set service s lean = 1 --wait 2");
  CHECK(answer["in_force"]["lagging"] == nlohmann::json::array({"n2"}));
  CHECK(answer["in_force"]["waited_ms"] == 2000);
}

// Guards against a node that knows only a part of the fleet and reports that a
// change is in force everywhere.
TEST_CASE("CommandExecutor.WaitNamesNodesNotHeardOf") {
  auto fixture = Fixture();
  fixture.backend.polls_until_member = 1'000'000;
  const auto answer =
      fixture.Run("set service s lean = 1 --wait 2")["in_force"];
  CHECK(answer["everywhere"] == false);
  CHECK(answer["not_heard_of"] == nlohmann::json::array({"n3"}));
  CHECK(answer["lagging"].empty());
  CHECK(answer["in_force_on"] == 2);
  CHECK(answer["known_nodes"] == 3);
  CHECK(answer["waited_ms"] == 2000);
}

TEST_CASE("CommandExecutor.WaitEndsWhenAllKnownNodesAreHeardOf") {
  auto fixture = Fixture();
  fixture.backend.polls_until_member = 4;
  const auto answer =
      fixture.Run("set service s lean = 1 --wait 9")["in_force"];
  CHECK(answer["everywhere"] == true);
  CHECK(answer["waited_ms"] == 400);
}

// Guards against reporting "everywhere" when the registered nodes could not be
// listed.
TEST_CASE("CommandExecutor.WaitDoesNotReportEverywhereWithoutRegistry") {
  auto fixture = Fixture();
  fixture.backend.registry_unavailable = true;
  const auto answer =
      fixture.Run("set service s lean = 1 --wait 2")["in_force"];
  CHECK(answer["everywhere"] == false);
  CHECK(answer["registry_error"].get<std::string>().find("no answer") !=
        std::string::npos);
}

TEST_CASE("CommandExecutor.PassesAuditFactsWithTheChange") {
  auto fixture = Fixture();
  fixture.Run("create service s kind = model if revision 0");
  REQUIRE(fixture.backend.changes.size() == 1);
  const auto& change = fixture.backend.changes.front();
  CHECK(change.operator_name == "ana");
  CHECK(change.operation_id == "op1");
  CHECK(change.key == "service/s");
  CHECK(change.command == "create service s kind = model if revision 0");
  CHECK(change.expected_revision == 0U);
}

TEST_CASE("CommandExecutor.DrainOfUpstreamMarksItLeaving") {
  auto fixture = Fixture();
  fixture.Run("drain upstream e1");
  REQUIRE(fixture.backend.changes.size() == 1);
  CHECK(fixture.backend.changes.front().fields ==
        nlohmann::json{{"leaving", true}});
}

}  // namespace
}  // namespace kumquatgauge::operators
