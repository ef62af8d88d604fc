#include "kumquatgauge/control/config_watcher.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <random>

#include "kumquatgauge/store/http_object_store.h"
#include "testing/support/fake_platform.h"
#include "testing/support/run_awaitable.h"

namespace kumquatgauge::control {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using testing::RunAwaitable;
using testing::RunUntil;

auto Options(const std::string& address) -> store::PlatformOptions {
  auto options = store::PlatformOptions();
  options.address = address;
  options.call_timeout = milliseconds(300);
  options.circuit.initial_backoff = milliseconds(20);
  options.circuit.max_backoff = milliseconds(50);
  return options;
}

// A watcher and a writer with separate connections to one platform.
struct Fixture {
  Fixture() {
    boost::asio::co_spawn(context, watcher.Run(),
                          [this](const std::exception_ptr& error) {
                            ended = true;
                            failed = error != nullptr;
                          });
  }
  ~Fixture() {
    watcher.Stop();
    fake.Stop();
    RunUntil(context, [this] { return ended; });
  }
  Fixture(const Fixture&) = delete;
  auto operator=(const Fixture&) -> Fixture& = delete;

  auto Client() -> store::PlatformClient {
    return {context.get_executor(), Options(fake.address()),
            &std::chrono::steady_clock::now, [this] { return random(); }};
  }
  auto Change(int number) -> void {
    auto request = ChangeRequest();
    request.key = "setting/s" + std::to_string(number % 7);
    request.value = {{"n", number}};
    request.operation = std::to_string(number);
    RunAwaitable(context, writer.Append(std::move(request)));
  }
  auto WaitForRevision(std::uint64_t revision) -> void {
    RunUntil(context,
             [&] { return configuration.revision() >= revision || failed; });
    CHECK_FALSE(failed);
  }
  auto Take(const ConfigDelta& delta) -> void {
    CHECK(delta.to > configuration.revision());
    configuration = configuration.Apply(delta);
    CHECK(configuration.revision() == delta.to);
  }

  boost::asio::io_context context;
  std::mt19937_64 random{1};
  testing::FakePlatform fake{context.get_executor(), {}};
  store::PlatformClient watcher_client = Client();
  store::PlatformClient writer_client = Client();
  store::HttpObjectStore watcher_objects{watcher_client};
  store::HttpObjectStore writer_objects{writer_client};
  ConfigStore store{watcher_objects, &std::chrono::system_clock::now,
                    [this] { return random(); }};
  ConfigStore writer{writer_objects, &std::chrono::system_clock::now,
                     [this] { return random(); }};
  Configuration configuration;
  ConfigWatcher watcher{watcher_objects,
                        store,
                        &std::chrono::steady_clock::now,
                        [this] { return random(); },
                        [this](const ConfigDelta& delta) { Take(delta); },
                        {.watch_timeout = milliseconds(200),
                         .initial_backoff = milliseconds(10),
                         .max_backoff = milliseconds(50),
                         .stale_retry = milliseconds(5)}};
  bool ended = false;
  bool failed = false;
};

// Guards against changes that are not published, including across a trimmed
// log.
TEST_CASE_METHOD(Fixture, "ConfigWatcher.PublishesEveryChange") {
  for (auto i = 1; i <= 70; ++i) {
    Change(i);
  }
  WaitForRevision(70);
  CHECK(configuration == writer.latest());
  CHECK(watcher.last_confirmed().has_value());
}

// Guards against a watcher that stops or misses changes after an outage.
TEST_CASE_METHOD(Fixture, "ConfigWatcher.SurvivesAnOutage") {
  Change(1);
  WaitForRevision(1);
  fake.SetFault({{"mode", "outage"}});
  RunUntil(context, [&] { return !watcher.last_error().empty(); });
  CHECK(configuration.revision() == 1);
  fake.SetFault({{"mode", "none"}});
  Change(2);
  WaitForRevision(2);
}

// Guards against publishing a lower revision when reads are stale.
TEST_CASE_METHOD(Fixture, "ConfigWatcher.NeverGoesBackOnStaleReads") {
  fake.SetFault({{"mode", "stale"}, {"by_ms", 60}, {"share", 0.5}});
  for (auto i = 1; i <= 20; ++i) {
    Change(i);
  }
  WaitForRevision(20);
  CHECK(configuration == writer.latest());
}

// Guards against reverting to an empty configuration when the platform loses
// its data.
TEST_CASE_METHOD(Fixture, "ConfigWatcher.KeepsTheConfigurationOnAReset") {
  Change(1);
  Change(2);
  WaitForRevision(2);
  fake.SetFault({{"mode", "reset"}});
  RunUntil(context, [&] { return watcher.behind(); });
  CHECK(configuration.revision() == 2);
}

}  // namespace
}  // namespace kumquatgauge::control
