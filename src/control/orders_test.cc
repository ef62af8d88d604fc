#include "kumquatgauge/control/orders.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <random>

#include "kumquatgauge/base/error.h"
#include "testing/support/manual_clock.h"
#include "testing/support/memory_object_store.h"
#include "testing/support/run_awaitable.h"

namespace kumquatgauge::control {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::RunUntil;
using Kind = OrderAction::Kind;

auto Upstream(const std::string& name,
              std::vector<std::string> models,
              bool checks_fencing = true) -> UpstreamSpec {
  auto spec = UpstreamSpec();
  spec.name = ReplicaId(name);
  spec.service = ServiceName("chat");
  spec.address = name + ":80";
  spec.zone = ZoneName("z");
  spec.checks_fencing = checks_fencing;
  spec.desired_models = std::move(models);
  return spec;
}

struct Fixture {
  auto Lease(std::uint64_t token, bool took_over = false) -> void {
    controller.OnLease(token, now + options.lease.term, took_over, now);
  }
  auto Observe(const std::string& upstream, std::vector<std::string> models)
      -> void {
    auto report = upstream::LoadReport();
    report.models = std::move(models);
    controller.OnObserved(ReplicaId(upstream), report, now);
  }
  // Returns the actions of one kind that are due now.
  auto Due(Kind kind) -> std::vector<OrderAction> {
    auto actions = controller.Tick(now);
    std::erase_if(actions,
                  [&](const auto& action) { return action.kind != kind; });
    return actions;
  }
  // Grants the requested weights and returns the resulting order.
  auto NextLoad() -> upstream::EngineOrder {
    const auto requests = Due(Kind::kRequestWeights);
    REQUIRE(requests.size() == 1);
    controller.OnWeightsGranted(requests.front().upstream);
    const auto orders = Due(Kind::kSend);
    REQUIRE(orders.size() == 1);
    return orders.front().order;
  }
  auto Answer(const std::string& upstream,
              const upstream::EngineOrder& order,
              OrderResult result) -> void {
    controller.OnOrderResult(ReplicaId(upstream), order.operation, result, now);
  }

  OrderOptions options;
  OrderController controller{ServiceName("chat"), options};
  MonotonicTime now{seconds(100)};
};

// Guards against orders from a node that does not hold the lease.
TEST_CASE_METHOD(Fixture, "Orders.AreSentOnlyUnderTheLease") {
  controller.SetDesired({Upstream("a", {"m@2"})});
  CHECK(Due(Kind::kObserve).size() == 1);
  Observe("a", {});
  CHECK(controller.NeedsLease());
  CHECK(Due(Kind::kRequestWeights).empty());
  Lease(5);
  now += options.lease.term - options.call_timeout + milliseconds(1);
  Observe("a", {});
  CHECK(Due(Kind::kRequestWeights).empty());
  Lease(5);
  CHECK(Due(Kind::kRequestWeights).size() == 1);
}

// Guards against interrupting the service and against keeping surplus models.
TEST_CASE_METHOD(Fixture, "Orders.LoadFirstThenUnloadUntilAsDesired") {
  controller.SetDesired({Upstream("a", {"m@2"})});
  Lease(5);
  Observe("a", {"m@1"});
  const auto load = NextLoad();
  CHECK(load.action == "load");
  CHECK(load.version == "2");
  CHECK(load.fence == 5);
  Answer("a", load, OrderResult::kAccepted);
  now += seconds(1);
  Observe("a", {"m@1", "m@2"});
  const auto unload = Due(Kind::kSend);
  REQUIRE(unload.size() == 1);
  CHECK(unload.front().order.action == "unload");
  CHECK(unload.front().order.version == "1");
  Answer("a", unload.front().order, OrderResult::kAccepted);
  now += seconds(1);
  Observe("a", {"m@2"});
  CHECK(Due(Kind::kSend).empty());
  CHECK_FALSE(controller.NeedsLease());
}

// Guards against a load that fails repeatedly on a full engine.
TEST_CASE_METHOD(Fixture, "Orders.UnloadFirstAfterAFailedLoad") {
  controller.SetDesired({Upstream("a", {"m@2"})});
  Lease(5);
  Observe("a", {"m@1"});
  Answer("a", NextLoad(), OrderResult::kFailed);
  CHECK(Due(Kind::kSend).empty());
  now += options.initial_retry_delay;
  const auto orders = Due(Kind::kSend);
  REQUIRE(orders.size() == 1);
  CHECK(orders.front().order.action == "unload");
}

// Guards against executing an order twice when its response is lost.
TEST_CASE_METHOD(Fixture, "Orders.RepeatALostAnswerUnderTheSameOperation") {
  controller.SetDesired({Upstream("a", {"m@2"})});
  Lease(5);
  Observe("a", {});
  const auto load = NextLoad();
  Answer("a", load, OrderResult::kUnknown);
  now += options.initial_retry_delay;
  const auto again = Due(Kind::kSend);
  REQUIRE(again.size() == 1);
  CHECK(again.front().order == load);
}

// Guards against judging an order by a load report that is older than the
// order.
TEST_CASE_METHOD(Fixture, "Orders.AreRepeatedOnlyWhenAFreshReportLacksThem") {
  controller.SetDesired({Upstream("a", {"m@2"})});
  Lease(5);
  Observe("a", {});
  const auto load = NextLoad();
  Answer("a", load, OrderResult::kAccepted);
  now += options.settle_timeout;
  Lease(5);
  auto report = upstream::LoadReport();
  report.age = std::chrono::duration_cast<milliseconds>(options.settle_timeout +
                                                        seconds(1));
  controller.OnObserved(ReplicaId("a"), report, now);
  CHECK(Due(Kind::kRequestWeights).empty());
  Observe("a", {});
  CHECK(NextLoad().operation != load.operation);
}

// Guards against an order of the former holder that arrives after the new
// holder's order on an engine that ignores fencing tokens.
TEST_CASE_METHOD(Fixture, "Orders.WaitOutTheFormerHolderOfAnUncheckedEngine") {
  controller.SetDesired(
      {Upstream("a", {"m@2"}, false), Upstream("b", {"m@2"}, true)});
  Lease(5, true);
  Observe("a", {});
  Observe("b", {});
  const auto first = Due(Kind::kRequestWeights);
  REQUIRE(first.size() == 1);
  CHECK(first.front().upstream == ReplicaId("b"));
  controller.OnWeightsGranted(ReplicaId("b"));
  CHECK(Due(Kind::kSend).size() == 1);
  now += options.lease.term + options.call_timeout;
  Lease(5);
  CHECK(Due(Kind::kRequestWeights).empty());  // The observation is too old.
  Observe("a", {});
  CHECK(Due(Kind::kRequestWeights).size() == 1);
}

// Guards against an old holder that continues after an engine refused its
// token.
TEST_CASE_METHOD(Fixture, "Orders.StopWhenAnEngineRefusesTheFence") {
  controller.SetDesired({Upstream("a", {"m@2"}), Upstream("b", {"m@2"})});
  Lease(5);
  Observe("a", {});
  Observe("b", {});
  Answer("a", NextLoad(), OrderResult::kFenced);
  CHECK(controller.fenced_out());
  CHECK(controller.Tick(now + seconds(1)).size() <= 2);  // Observations only.
  CHECK(Due(Kind::kSend).empty());
}

// Guards against one upstream that uses the whole rate of the weight store.
TEST_CASE_METHOD(Fixture, "Orders.ServeTheWeightStoreRoundRobin") {
  controller.SetDesired({Upstream("a", {"m@1", "n@1"}),
                         Upstream("b", {"m@1", "n@1"}),
                         Upstream("c", {"m@1", "n@1"})});
  Lease(5);
  auto loaded = std::map<std::string, std::vector<std::string>>();
  auto served = std::string();
  while (served.size() < 6) {
    Lease(5);
    for (const auto* name : {"a", "b", "c"}) {
      Observe(name, loaded[name]);
    }
    for (const auto& action : controller.Tick(now)) {
      const auto name = action.upstream.value();
      if (action.kind == Kind::kSend) {
        loaded[name].push_back(action.order.model + "@" + action.order.version);
        Answer(name, action.order, OrderResult::kAccepted);
      }
      if (action.kind == Kind::kRequestWeights) {
        CHECK(Due(Kind::kRequestWeights).empty());
        controller.OnWeightsGranted(action.upstream);
        served += name;
      }
    }
    now += milliseconds(10);
  }
  CHECK(served == "abcabc");
}

// Guards against a new request to the weight store before its retry delay ends.
TEST_CASE_METHOD(Fixture, "Orders.WaitAsLongAsTheWeightStoreSays") {
  controller.SetDesired({Upstream("a", {"m@1"}), Upstream("b", {"m@1"})});
  Lease(5);
  Observe("a", {});
  Observe("b", {});
  REQUIRE(Due(Kind::kRequestWeights).size() == 1);
  controller.OnWeightsRefused(seconds(2), now);
  CHECK(Due(Kind::kRequestWeights).empty());
  now += seconds(2);
  Lease(5);
  const auto requests = Due(Kind::kRequestWeights);
  REQUIRE(requests.size() == 1);
  CHECK(requests.front().upstream == ReplicaId("a"));
}

// Guards against unloading all models from manually operated engines.
TEST_CASE_METHOD(Fixture, "Orders.LeaveUpstreamsWithoutDesiredModelsAlone") {
  controller.SetDesired({Upstream("a", {})});
  Lease(5);
  CHECK(controller.Tick(now).empty());
  CHECK_FALSE(controller.NeedsLease());
}

TEST_CASE_METHOD(Fixture, "Orders.ChangeTheRoleOnce") {
  auto spec = Upstream("a", {});
  spec.role = "prefill";
  controller.SetDesired({spec});
  Lease(5);
  Observe("a", {"m@1"});
  const auto orders = Due(Kind::kSend);
  REQUIRE(orders.size() == 1);
  CHECK(orders.front().order.action == "role");
  CHECK(orders.front().order.model == "prefill");
  Answer("a", orders.front().order, OrderResult::kAccepted);
  CHECK(Due(Kind::kSend).empty());
}

// In-memory engines that execute orders immediately and may lose responses.
class MemoryEngines : public upstream::EngineClient {
 public:
  auto Stream(std::string /*address*/,
              routing::CompletionRequest /*request*/,
              std::function<auto(std::shared_ptr<upstream::StreamHandle>)->void>
              /*on_start*/,
              routing::TokenSink /*sink*/)
      -> boost::asio::awaitable<upstream::StreamEnd> override {
    co_return upstream::StreamEnd();
  }
  auto Load(std::string address)
      -> boost::asio::awaitable<upstream::LoadReport> override {
    auto report = upstream::LoadReport();
    report.models.assign(models[address].begin(), models[address].end());
    co_return report;
  }
  auto SendOrder(std::string address, upstream::EngineOrder order)
      -> boost::asio::awaitable<void> override {
    if (order.fence < fences[address]) {
      throw Error(ErrorKind::kConflict, "old fence", address, "stop");
    }
    fences[address] = order.fence;
    const auto model = order.model + "@" + order.version;
    if (operations.insert(order.operation).second) {
      order.action == "load" ? (void)models[address].insert(model)
                             : (void)models[address].erase(model);
    }
    if (lose && lose()) {
      throw Error(ErrorKind::kUnknownOutcome, "answer lost", address, "repeat");
    }
    co_return;
  }

  std::map<std::string, std::set<std::string>> models;
  std::map<std::string, std::uint64_t> fences;
  std::set<std::string> operations;
  std::function<auto()->bool> lose;
};

class MemoryWeights : public store::WeightStore {
 public:
  auto Request(std::string /*name*/)
      -> boost::asio::awaitable<std::optional<milliseconds>> override {
    ++requests;
    co_return std::nullopt;
  }

  int requests = 0;
};

struct DriverFixture {
  DriverFixture() {
    auto delta = ConfigDelta{.from = 0, .to = 1, .changes = {}};
    for (const auto* name : {"a", "b"}) {
      delta.changes.push_back({.key = std::string("upstream/") + name,
                               .value = {{"service", "chat"},
                                         {"address", "10.0.0.1:80"},
                                         {"zone", "z"},
                                         {"checks_fencing", true},
                                         {"desired_models", {"m@1", "m@2"}}},
                               .revision = 1});
    }
    delta.changes.back().value["address"] = "10.0.0.2:80";
    configuration = configuration.Apply(delta);
    options.observe_interval = milliseconds(50);
    options.initial_retry_delay = milliseconds(50);
    options.idle_release_delay = milliseconds(50);
    options.lease.renew_interval = milliseconds(200);
  }

  auto Driver(const std::string& node) -> std::unique_ptr<OrderDriver> {
    return std::make_unique<OrderDriver>(
        ServiceName("chat"),
        OrderDriver::Environment{
            .store = store,
            .weights = weights,
            .engines = engines,
            .node = NodeId(node),
            .incarnation = 1,
            .clock = &std::chrono::steady_clock::now,
            .random = [this] { return random(); },
            .configuration = [this] { return configuration; },
            .responsible = [] { return true; }},
        options);
  }
  // Runs the drivers until both engines are in the desired state and the lease
  // is released.
  auto RunUntilDone(const std::vector<OrderDriver*>& drivers) -> void {
    auto running = drivers.size();
    for (auto* driver : drivers) {
      boost::asio::co_spawn(context, driver->Run(),
                            [&](const std::exception_ptr& error) {
                              CHECK(error == nullptr);
                              --running;
                            });
    }
    const auto desired = std::set<std::string>{"m@1", "m@2"};
    RunUntil(context, [&] {
      return engines.models["10.0.0.1:80"] == desired &&
             engines.models["10.0.0.2:80"] == desired &&
             std::none_of(drivers.begin(), drivers.end(),
                          [](auto* driver) { return driver->lease().held(); });
    });
    for (auto* driver : drivers) {
      driver->Stop();
    }
    RunUntil(context, [&] { return running == 0; });
  }

  boost::asio::io_context context;
  testing::MemoryObjectStore store;
  MemoryEngines engines;
  MemoryWeights weights;
  std::mt19937_64 random{1};
  Configuration configuration;
  OrderOptions options;
};

// Guards against orders that are lost with their responses, and against a lease
// that is held when no orders are needed.
TEST_CASE_METHOD(DriverFixture, "OrderDriver.ReachesTheDesiredState") {
  engines.models["10.0.0.1:80"] = {"old@1"};
  engines.lose = [this] { return random() % 2 == 0; };
  auto first = Driver("n1");
  auto second = Driver("n2");
  RunUntilDone({first.get(), second.get()});
  CHECK(weights.requests == 4);
}

// Guards against a service that stays fenced out after its lease object was
// lost and its tokens restarted.
TEST_CASE_METHOD(DriverFixture,
                 "OrderDriver.SendsAFenceAboveTheOneFromALostLease") {
  engines.fences["10.0.0.2:80"] = 900;
  auto driver = Driver("n1");
  RunUntilDone({driver.get()});
  CHECK(engines.fences["10.0.0.2:80"] > 900);
}

}  // namespace
}  // namespace kumquatgauge::control
