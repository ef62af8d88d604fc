#include "kumquatgauge/serving/store_feed.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "kumquatgauge/store/platform_client.h"
#include "platform/object_api.h"
#include "testing/gateway/fake_servers.h"
#include "testing/support/run_until.h"

namespace kumquatgauge::serving {
namespace {

using std::chrono::milliseconds;
using testing::RunUntil;

constexpr auto kKey = "config/main";
// Longer than a test takes, so that only a change ends a watch.
constexpr milliseconds kWatchTime{20'000};
// A node must have read what it missed within this time after an outage.
constexpr milliseconds kReturnTime{3'000};

// A feed that is the only user of its connection to a fake store.
struct Fixture {
  Fixture() {
    store.Put(kKey, 1);
    auto hooks = StoreFeedHooks();
    hooks.watch_time = [] { return std::optional(kWatchTime); };
    hooks.snapshot = [this](const std::vector<store::ListEntry>& entries,
                            std::uint64_t /*revision*/) {
      seen = entries.front().value.value_or("");
    };
    hooks.event = [this](const store::WatchEvent& event) {
      seen = event.value.value_or("");
    };
    hooks.call_failed = [](const std::string& /*reason*/) {};
    hooks.call_succeeded = [] {};
    feed.emplace(context.get_executor(), objects,
                 StoreFeedSettings{.prefix = "config/"}, std::move(hooks),
                 [] { return 0; });
    feed->Start();
  }

  auto AwaitCircuit(store::Circuit::State state) -> bool {
    return RunUntil(context, [&] { return client.circuit_state() == state; });
  }

  auto MakeOptions() const -> store::PlatformOptions {
    auto options = store::PlatformOptions();
    options.address = store.address();
    return options;
  }

  boost::asio::io_context context;
  testing::FakeObjectApi store{context};
  store::PlatformClient client{context.get_executor(), MakeOptions(),
                               [] { return std::chrono::steady_clock::now(); },
                               [] { return 0; }};
  platform::ObjectApi objects{client};
  std::string seen;
  std::optional<StoreFeed> feed;
};

// Guards against a node that stops following the store after an outage, because
// the circuit is open and lets no watch through.
TEST_CASE("StoreFeed.ReturnsAfterAnOutageWithoutOtherCalls") {
  auto fixture = Fixture();
  REQUIRE(RunUntil(fixture.context, [&] { return fixture.seen == "1"; }));
  fixture.store.set_down(true);
  REQUIRE(fixture.AwaitCircuit(store::Circuit::State::kOpen));
  fixture.store.set_down(false);
  fixture.store.Put(kKey, 2);
  CHECK(RunUntil(
      fixture.context, [&] { return fixture.seen == "2"; }, kReturnTime));
}

}  // namespace
}  // namespace kumquatgauge::serving
