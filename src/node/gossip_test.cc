#include "kumquatgauge/node/gossip.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <nlohmann/json.hpp>
#include <random>

#include "kumquatgauge/node/address.h"
#include "kumquatgauge/node/peer_client.h"
#include "kumquatgauge/node/peer_server.h"

namespace kumquatgauge::node {
namespace {

using boost::asio::ip::tcp;
using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr std::uint64_t kSeed = 7;
constexpr std::chrono::seconds kTestLimit{20};

auto FreeAddress(boost::asio::io_context& context) -> std::string {
  const tcp::acceptor acceptor(context, ParseTcpAddress("127.0.0.1:0"));
  return FormatAddress(acceptor.local_endpoint());
}

// One node with server, client and gossip on one io_context.
struct Node {
  Node(boost::asio::io_context& context,
       const std::string& name,
       std::vector<std::string> seeds)
      : address(FreeAddress(context)),
        server(context, {&context}, {address, "secret"}),
        client(MakePeerClient(context, {"secret"})),
        random(kSeed + std::hash<std::string>()(name)) {
    routing::NodeInfo self;
    self.id = NodeId(name);
    self.node_address = address;
    GossipHooks hooks;
    hooks.members_changed = [this](const auto& live) { members = live; };
    hooks.read_feed = [this](const std::string&, std::uint64_t) {
      return json{{"text", content}};
    };
    hooks.apply_feed = [this](const std::string&, std::uint64_t revision,
                              const json& change) {
      content = change.at("text");
      return revision;
    };
    gossip = std::make_unique<Gossip>(
        context, GossipSettings{self, address, "secret", std::move(seeds)},
        *client, std::move(hooks), steady_clock::now,
        std::chrono::system_clock::now, [this] { return random(); });
    gossip->RegisterHandlers(server);
    server.Start();
    gossip->Start();
  }

  std::string address;
  PeerServer server;
  std::unique_ptr<PeerClient> client;
  std::mt19937_64 random;
  std::unique_ptr<Gossip> gossip;
  std::vector<routing::NodeInfo> members;
  std::string content;
};

class Fleet {
 public:
  explicit Fleet(int size) {
    INFO("seed " << kSeed);
    for (auto i = 0; i < size; ++i) {
      std::vector<std::string> seeds;
      if (i > 0) {
        seeds.push_back(nodes.front()->address);
      }
      nodes.push_back(std::make_unique<Node>(
          context, "node-" + std::to_string(i), std::move(seeds)));
    }
  }
  ~Fleet() {
    nodes.clear();
    context.restart();
    context.run_for(milliseconds(20));
  }
  Fleet(const Fleet&) = delete;
  auto operator=(const Fleet&) -> Fleet& = delete;

  auto RunUntil(const std::function<auto()->bool>& done) -> bool {
    const auto limit = steady_clock::now() + kTestLimit;
    while (!done() && steady_clock::now() < limit) {
      context.restart();
      context.run_one_for(milliseconds(50));
    }
    return done();
  }

  auto AllSee(std::size_t count) -> bool {
    return std::all_of(nodes.begin(), nodes.end(), [&](const auto& node) {
      return node->members.size() == count;
    });
  }

  boost::asio::io_context context;
  std::vector<std::unique_ptr<Node>> nodes;
};

// Guards against a fleet that does not form, or that keeps a node as a member
// after a planned stop.
TEST_CASE("Gossip.FormsFleetAndDropsStoppedNode") {
  Fleet fleet(5);
  REQUIRE(fleet.RunUntil([&] { return fleet.AllSee(5); }));
  fleet.nodes.back()->gossip->Leave();
  CHECK(fleet.RunUntil([&] {
    const auto& members = fleet.nodes.front()->members;
    return std::count_if(members.begin(), members.end(),
                         [](const auto& node) { return node.leaving; }) == 1;
  }));
  fleet.nodes.back()->gossip->Stop();
  fleet.nodes.pop_back();
  CHECK(fleet.RunUntil([&] { return fleet.AllSee(4); }));
}

// Guards against a crashed node that remains a member.
TEST_CASE("Gossip.DropsNodeThatCrashed") {
  Fleet fleet(4);
  REQUIRE(fleet.RunUntil([&] { return fleet.AllSee(4); }));
  fleet.nodes.pop_back();
  const auto start = steady_clock::now();
  CHECK(fleet.RunUntil([&] { return fleet.AllSee(3); }));
  CHECK(steady_clock::now() - start < std::chrono::seconds(3));
}

// Guards against a revision that does not reach every node, and against more
// control traffic than the budget of 3 KB/s.
TEST_CASE("Gossip.RelaysFeedToAllNodesWithinBudget") {
  Fleet fleet(5);
  REQUIRE(fleet.RunUntil([&] { return fleet.AllSee(5); }));
  fleet.nodes[2]->content = "new";
  fleet.nodes[2]->gossip->OnFeedApplied("config", 12);
  CHECK(fleet.RunUntil([&] {
    return std::all_of(
        fleet.nodes.begin(), fleet.nodes.end(), [](const auto& node) {
          return node->content == "new" &&
                 node->gossip->feeds().revisions().at("config") == 12;
        });
  }));
  const auto before = fleet.nodes[0]->gossip->counters();
  const auto start = steady_clock::now();
  fleet.RunUntil(
      [&] { return steady_clock::now() - start > std::chrono::seconds(4); });
  const auto after = fleet.nodes[0]->gossip->counters();
  const auto sent = (after.sent_bytes - before.sent_bytes) / 4;
  const auto received = (after.received_bytes - before.received_bytes) / 4;
  CAPTURE(sent, received);
  CHECK(sent + received < 3000);
  WARN("control traffic: " << sent << " B/s sent, " << received
                           << " B/s received");
}

}  // namespace
}  // namespace kumquatgauge::node
