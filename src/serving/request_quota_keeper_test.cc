#include "kumquatgauge/serving/request_quota_keeper.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "base/process_hooks.h"
#include "kumquatgauge/routing/rendezvous.h"
#include "testing/support/run_awaitable.h"

namespace kumquatgauge::serving {
namespace {

using nlohmann::json;

constexpr int kOrganisations = 16;

auto NameOf(int at) -> OrganisationName {
  return OrganisationName("o" + std::to_string(at));
}

// Two nodes that are connected by hooks, and settled.
struct Pair {
  Pair() {
    for (const auto* name : {"n1", "n2"}) {
      auto node = routing::NodeInfo();
      node.id = NodeId(name);
      node.node_address = std::string("address of ") + name;
      nodes.push_back(node);
    }
    for (const auto& node : nodes) {
      auto parts = RequestQuotaKeeperParts{
          .executor = context.get_executor(),
          .metrics = metrics[node.id],
          .clock = [this] { return detail::SteadyNow() + ahead; },
          .random = detail::DrawRandom,
          .first_sequence = 1,
          .self = node.id,
          .live = [this] { return nodes; },
          .known_nodes = [this] { return nodes.size(); },
          .isolated = [] { return false; },
          .send_datagram =
              [this](const std::string& address, const json& message) {
                Send(address, message);
              }};
      keepers[node.id] = std::make_unique<RequestQuotaKeeper>(std::move(parts));
    }
    auto configuration = Configuration();
    configuration.organisations.emplace();
    for (auto at = 0; at < kOrganisations; ++at) {
      auto organisation = Organisation();
      organisation.name = NameOf(at);
      organisation.requests_per_second = 10;
      organisation.burst = 10;
      configuration.organisations->push_back(organisation);
    }
    for (const auto& [id, keeper] : keepers) {
      keeper->SetConfiguration(configuration);
    }
    ahead = std::chrono::seconds(2);
  }

  auto Send(const std::string& address, const json& message) -> void {
    sent.push_back(message);
    for (const auto& node : nodes) {
      if (node.node_address == address) {
        boost::asio::post(context, [this, id = node.id, message] {
          keepers.at(id)->OnDatagram(message);
        });
      }
    }
  }

  auto IsKeptBy(int organisation, const NodeId& node) const -> bool {
    return routing::ChooseNode(
               routing::RendezvousHash(NameOf(organisation).value()), nodes) ==
           node;
  }

  boost::asio::io_context context;
  Duration ahead{0};
  std::vector<routing::NodeInfo> nodes;
  std::map<NodeId, MetricsRegistry> metrics;
  std::map<NodeId, std::unique_ptr<RequestQuotaKeeper>> keepers;
  std::vector<json> sent;
};

auto ReserveOne(RequestQuotaKeeper& keeper,
                OrganisationName organisation,
                std::vector<RequestQuotaDecision>& decisions)
    -> boost::asio::awaitable<void> {
  const auto decision = co_await keeper.Reserve(std::move(organisation));
  decisions.push_back(decision);
}

// Guards against a datagram for each organisation, and against fields that the
// other side does not read.
TEST_CASE("RequestQuotaKeeper.SendsTheAsksToOneKeeperTogether") {
  auto pair = Pair();
  auto decisions = std::vector<RequestQuotaDecision>();
  auto& keeper = *pair.keepers.at(NodeId("n1"));
  auto asked = std::size_t{0};
  for (auto at = 0; at < kOrganisations; ++at) {
    asked += pair.IsKeptBy(at, NodeId("n2")) ? 1 : 0;
    boost::asio::co_spawn(pair.context,
                          ReserveOne(keeper, NameOf(at), decisions),
                          boost::asio::detached);
  }
  testing::RunUntil(pair.context,
                    [&] { return decisions.size() == kOrganisations; });
  for (const auto& decision : decisions) {
    CHECK(decision.reason == RequestQuotaReason::kGranted);
  }
  REQUIRE(asked > 1);
  REQUIRE(asked <= 12);  // Fit in one datagram.
  REQUIRE(pair.sent.size() == 2);
  CHECK(pair.sent[0].at("t") == "quota-ask");
  CHECK(pair.sent[0].at("n") == "n1");
  CHECK(pair.sent[0].at("a").size() == asked);
  CHECK(pair.sent[1].at("t") == "quota-grant");
  CHECK(pair.sent[1].at("g").size() == asked);
}

// Guards against requests without an answer while the keeper is down.
TEST_CASE("RequestQuotaKeeper.DecidesWithoutAReply") {
  auto pair = Pair();
  auto decisions = std::vector<RequestQuotaDecision>();
  auto organisation = 0;
  while (!pair.IsKeptBy(organisation, NodeId("n2"))) {
    ++organisation;
  }
  pair.keepers.at(NodeId("n2"))->SetConfiguration(Configuration());
  for (auto count = 0; count < 3; ++count) {
    boost::asio::co_spawn(pair.context,
                          ReserveOne(*pair.keepers.at(NodeId("n1")),
                                     NameOf(organisation), decisions),
                          boost::asio::detached);
  }
  testing::RunUntil(pair.context, [&] { return decisions.size() == 3; });
  CHECK(decisions[0].reason == RequestQuotaReason::kGrantedLocally);
  CHECK(decisions[2].reason == RequestQuotaReason::kRefusedLocally);
}

// Guards against a process that ends because of a malformed datagram; the
// caller logs the exception.
TEST_CASE("RequestQuotaKeeper.RejectsMalformedDatagrams") {
  auto pair = Pair();
  auto& keeper = *pair.keepers.at(NodeId("n1"));
  CHECK(RequestQuotaKeeper::Handles("quota-ask"));
  CHECK_FALSE(RequestQuotaKeeper::Handles("load"));
  for (const auto* text : {
           R"({"t": "quota-ask", "n": "n2"})",
           R"({"t": "quota-ask", "n": "n2", "a": [["o1", 1]]})",
           R"({"t": "quota-ask", "n": "n2", "a": ["o1"]})",
           R"({"t": "quota-grant", "n": "n2", "g": [["o1", "x", 1, 1, 1]]})",
           R"({"t": "quota-balance", "n": "n2", "b": [["o1"]]})",
       }) {
    INFO(text);
    CHECK_THROWS(keeper.OnDatagram(json::parse(text)));
  }
}

}  // namespace
}  // namespace kumquatgauge::serving
