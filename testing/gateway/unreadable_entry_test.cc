// Entries of other programs beside those of the replicas, which no program can
// read, at real gateway processes.

#include <catch2/catch.hpp>
#include <csignal>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "testing/gateway/fleet.h"

namespace kumquatgauge::testing {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

// Deeper than a function that calls itself for each level can go.
constexpr std::size_t kDeepLevels = 300'000;

auto Nested(std::size_t levels) -> std::string {
  return std::string(levels, '[') + std::string(levels, ']');
}

// An entry that would name a usable replica at `address` but for `field`.
auto EntryWith(const std::string& address, const std::string& field)
    -> std::string {
  return R"({"service":"svc","address":")" + address +
         R"(","zone":"a","version":"","slots":8,"state":"ready",)" + field +
         "}";
}

// Values that a JSON parser refuses or cannot represent.
auto UnreadableFields() -> std::vector<std::string> {
  return {
      R"("note":"\udc80")",     // A lone low surrogate.
      R"("note":"\ud800 x")",   // A lone high surrogate.
      R"("\udc80":1)",          // In a key.
      "\"note\":\"\x01\"",      // A raw control character.
      "\"note\":\"a\nb\"",      // The same, a line feed.
      "\"note\":\"\x80\xff\"",  // No UTF-8.
      R"("note":"\q")",         // An unknown escape.
      R"("note":1e999)",        // Beyond the largest number.
      R"("note":-1e999)",       //
      R"("note":NaN)",          // Literals of other languages.
      R"("note":Infinity)",     //
      R"("note":True)",         //
      R"("note":[1,2,])",       // A trailing comma.
      R"("note":01)",           // A leading zero.
      R"("note":)" + Nested(kDeepLevels),
  };
}

// Entries that a JSON parser accepts but that name no replica to use.
auto UnusableEntries(const std::string& address) -> std::vector<std::string> {
  return {
      EntryWith("127.0.0.1:65536", R"("note":1)"),
      EntryWith("127.0.0.1:999999999999999999999", R"("note":1)"),
      EntryWith("127.0.0.1:", R"("note":1)"),
      EntryWith(address, R"("slots":123456789012345678901234567890)"),
      EntryWith(address, R"("slots":-1)"),
      EntryWith(address, R"("born":123456789012345678901234567890)"),
      EntryWith(address, R"("state":"resting")"),
      EntryWith(address, R"("service":7)"),
      "[]",
      "7",
      "null",
      R"("text")",
      Nested(kDeepLevels),
  };
}

auto OddEntries(const std::string& address) -> std::vector<std::string> {
  auto entries = UnusableEntries(address);
  for (const auto& field : UnreadableFields()) {
    entries.push_back(EntryWith(address, field));
  }
  return entries;
}

// A fleet with a replica to which nothing may be sent.
struct FleetWithStranger : Fleet {
  FleetWithStranger() : Fleet(2) {}

  ~FleetWithStranger() {
    nodes.clear();
    thread.Stop();
  }

  FakeReplica stranger{thread.context(), "i-9"};
};

auto Serves(const Fleet& fleet, const std::string& name) -> bool {
  auto all = true;
  for (const auto& node : fleet.nodes) {
    all = all &&
          node->Call("POST", "/plain/x", name + node->name()).status == 200;
  }
  return all;
}

// Guards against a host that knows no replica, or no change of one, because one
// entry among theirs cannot be read, and against one that ends on reading it.
TEST_CASE("Gateway.UsesTheReplicasBesideEntriesThatCannotBeRead") {
  auto fleet = FleetWithStranger();
  auto number = 0;
  for (const auto& entry : OddEntries(fleet.stranger.address())) {
    fleet.store->PutText("servers/x-" + std::to_string(number++), entry);
  }
  fleet.AwaitService();
  CHECK(Serves(fleet, "listed-"));
  const auto job =
      fleet.nodes[0]->Call("POST", "/jobs/1", "j1", JobBody({"a", "b", "c"}));
  CHECK(job.status == 202);
  CHECK(Eventually([&] {
    const auto page = fleet.nodes[1]->ReadJob("j1");
    return page.is_object() && page.at("next") == 3;
  }));
  // A change beside them is followed, and so is each of their own changes.
  constexpr auto kFollowed = milliseconds(2'000);
  fleet.store->Remove("servers/i-1");
  for (auto at = 0; at < number; ++at) {
    fleet.store->Remove("servers/x-" + std::to_string(at));
  }
  std::this_thread::sleep_for(kFollowed);
  const auto before = fleet.one->total_runs();
  for (auto round = 0; round < 10; ++round) {
    CHECK(Serves(fleet, "removed-" + std::to_string(round)));
  }
  CHECK(fleet.one->total_runs() == before);
  CHECK(fleet.stranger.total_runs() == 0);
  for (const auto& node : fleet.nodes) {
    CHECK(node->process().WaitForExit(milliseconds(0)) == std::nullopt);
  }
}

// The same for entries that are put while the hosts follow the changes, each
// together with a change of a replica.
TEST_CASE("Gateway.FollowsTheReplicasBesideEntriesThatCannotBeRead") {
  auto fleet = FleetWithStranger();
  fleet.AwaitService();
  auto number = 0;
  for (const auto& entry : OddEntries(fleet.stranger.address())) {
    fleet.store->PutText("servers/x-" + std::to_string(number++), entry);
  }
  // The entry of a replica itself can no longer be read.
  fleet.store->PutText("servers/i-1",
                       EntryWith(fleet.one->address(), R"("note":"\udc80")"));
  constexpr auto kFollowed = milliseconds(2'000);
  std::this_thread::sleep_for(kFollowed);
  const auto before = fleet.one->total_runs();
  for (auto round = 0; round < 10; ++round) {
    CHECK(Serves(fleet, "put-" + std::to_string(round)));
  }
  CHECK(fleet.one->total_runs() == before);
  // It can be read again.
  fleet.Announce(*fleet.one);
  CHECK(Eventually([&] {
    Serves(fleet, "back-" + std::to_string(fleet.TotalRuns()));
    return fleet.one->total_runs() > before;
  }));
  CHECK(fleet.stranger.total_runs() == 0);
  for (const auto& node : fleet.nodes) {
    CHECK(node->process().WaitForExit(milliseconds(0)) == std::nullopt);
    CHECK_FALSE(LinesOf(node->Log(), "event", "entry_ignored").empty());
  }
}

// Guards against a job that nobody takes over, or whose quota is not known,
// because another program has left an object among the states of jobs that
// cannot be read.
TEST_CASE("Gateway.TakesOverJobsBesideObjectsThatCannotBeRead") {
  auto fleet = Fleet(2);
  fleet.store->Put("job-states/x-1", json::array());
  fleet.store->Put("job-states/x-2", {{"owner", 7}});
  fleet.store->PutText("job-states/x-3", R"({"owner":"\udc80"})");
  fleet.store->PutText("gateways/x-4", R"({"address":"\udc80"})");
  fleet.store->Put("gateways/x-5", {{"address", 7}});
  fleet.AwaitService();
  fleet.one->set_event_delay(milliseconds(700));
  fleet.two->set_event_delay(milliseconds(700));
  REQUIRE(fleet.nodes[0]
              ->Call("POST", "/jobs/1", "j1", JobBody({"a", "b"}))
              .status == 202);
  fleet.nodes[0]->process().Signal(SIGKILL);
  fleet.one->set_event_delay(milliseconds(0));
  fleet.two->set_event_delay(milliseconds(0));
  CHECK(Eventually([&] {
    const auto page = fleet.nodes[1]->ReadJob("j1");
    return page.is_object() && page.at("next") == 2;
  }));
}

}  // namespace
}  // namespace kumquatgauge::testing
