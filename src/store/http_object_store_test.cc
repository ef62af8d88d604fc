#include "kumquatgauge/store/http_object_store.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>

#include "kumquatgauge/base/error.h"
#include "kumquatgauge/store/http_host_list.h"
#include "kumquatgauge/store/weight_store.h"
#include "testing/support/fake_platform.h"
#include "testing/support/run_awaitable.h"

namespace kumquatgauge::store {
namespace {

using boost::asio::ip::tcp;
using nlohmann::json;
using std::chrono::milliseconds;
using testing::FakePlatform;
using testing::RunAwaitable;
using testing::RunUntil;

auto Options(const std::string& address) -> PlatformOptions {
  auto options = PlatformOptions();
  options.address = address;
  options.call_timeout = milliseconds(300);
  return options;
}

struct Fixture {
  explicit Fixture(const testing::FakePlatformOptions& fake_options = {})
      : fake(context.get_executor(), fake_options),
        client(context.get_executor(),
               Options(fake.address()),
               &std::chrono::steady_clock::now,
               [this] { return random(); }),
        store(client) {}

  auto Read(const std::string& key) -> std::optional<StoredObject> {
    return RunAwaitable(context, store.Read(key, CallClass::kStatus));
  }
  auto Write(const std::string& key,
             const std::string& value,
             std::optional<std::uint64_t> expected = {}) -> std::uint64_t {
    return RunAwaitable(context,
                        store.Write(key, value, expected, CallClass::kResult));
  }
  auto Remove(const std::string& key, std::uint64_t expected) -> void {
    RunAwaitable(context, store.Remove(key, expected, CallClass::kStatus));
  }
  // Kind of the error that the call throws, if any.
  template <typename Call>
  auto ErrorKindOf(Call call) -> std::optional<ErrorKind> {
    try {
      call();
    } catch (const Error& error) {
      last_message = error.what();
      return error.kind();
    }
    return std::nullopt;
  }

  boost::asio::io_context context;
  std::mt19937_64 random{1};
  FakePlatform fake;
  PlatformClient client;
  HttpObjectStore store;
  std::string last_message;
};

TEST_CASE_METHOD(Fixture, "HttpObjectStore.WritesReadsAndRemovesByVersion") {
  CHECK_FALSE(Read("a/b c%").has_value());
  const auto first = Write("a/b c%", "one");
  const auto second = Write("a/b c%", "two", first);
  CHECK(second > first);
  CHECK(Read("a/b c%") == StoredObject{"two", second});
  Remove("a/b c%", second);
  CHECK_FALSE(Read("a/b c%").has_value());
}

// Guards against errors that report no effect of a write that had one, or the
// reverse.
TEST_CASE_METHOD(Fixture, "HttpObjectStore.ReportsConflictAndNotFound") {
  Write("a", "one");
  CHECK(ErrorKindOf([&] { Write("a", "two"); }) == ErrorKind::kConflict);
  CHECK(ErrorKindOf([&] { Write("a", "two", 7); }) == ErrorKind::kConflict);
  CHECK(ErrorKindOf([&] { Write("none", "x", 1); }) == ErrorKind::kConflict);
  CHECK(ErrorKindOf([&] { Remove("a", 7); }) == ErrorKind::kConflict);
  CHECK(ErrorKindOf([&] { Remove("none", 1); }) == ErrorKind::kNotFound);
  CHECK(ErrorKindOf([&] {
          Write("big", std::string(kMaxValueBytes + 1, 'x'));
        }) == ErrorKind::kInvalidArgument);
}

TEST_CASE_METHOD(Fixture, "HttpObjectStore.ReportsALostAnswerAsUnknown") {
  fake.SetFault({{"mode", "lose_answers"}});
  CHECK(ErrorKindOf([&] { Write("a", "one"); }) == ErrorKind::kUnknownOutcome);
  CHECK(fake.Value("a") == "one");
  CHECK(ErrorKindOf([&] { Remove("a", 1); }) == ErrorKind::kUnknownOutcome);
  CHECK_FALSE(fake.Value("a").has_value());
}

// Guards against a write that counts as done, or as refused, by bytes that are
// no answer: a status that does not exist, or a malformed field.
TEST_CASE("HttpObjectStore.TakesNoMalformedHeadForAnAnswer") {
  const auto head = std::string(GENERATE(
      "HTTP/1.1 000 X\r\n", "HTTP/1.1 099 X\r\n", "HTTP/1.1 100 X\r\n",
      "HTTP/1.1 600 X\r\n", "HTTP/1.1 200 OK\r\nA b: c\r\n",
      "HTTP/1.1 200 OK\r\nA\x01: c\r\n", "HTTP/1.1 200 OK\r\nA : c\r\n"));
  CAPTURE(head);
  auto context = boost::asio::io_context();
  auto random = std::mt19937_64(1);
  auto acceptor =
      tcp::acceptor(context, {boost::asio::ip::address_v4::loopback(), 0});
  auto socket = std::optional<tcp::socket>();
  const auto answer = head + "Content-Length: 13\r\n\r\n{\"version\":1}";
  acceptor.async_accept([&](const auto& /*error*/, tcp::socket accepted) {
    socket = std::move(accepted);
    boost::asio::async_write(*socket, boost::asio::buffer(answer),
                             [](const auto& /*error*/, std::size_t) {});
  });
  auto client = PlatformClient(
      context.get_executor(),
      Options("127.0.0.1:" + std::to_string(acceptor.local_endpoint().port())),
      &std::chrono::steady_clock::now, [&] { return random(); });
  auto store = HttpObjectStore(client);
  auto kind = std::optional<ErrorKind>();
  try {
    RunAwaitable(context, store.Write("a/b", "c", {}, CallClass::kResult));
  } catch (const Error& error) {
    kind = error.kind();
  }
  CHECK(kind == ErrorKind::kUnknownOutcome);
}

TEST_CASE_METHOD(Fixture, "HttpObjectStore.ReportsASilentPlatform") {
  fake.SetFault({{"mode", "outage"}, {"kind", "hang"}});
  CHECK(ErrorKindOf([&] { Read("a"); }) == ErrorKind::kTimeout);
  CHECK(ErrorKindOf([&] { Write("a", "one"); }) == ErrorKind::kUnknownOutcome);
}

TEST_CASE_METHOD(Fixture, "HttpObjectStore.ReportsAnOutageAsUnavailable") {
  fake.SetFault({{"mode", "outage"}, {"kind", "error"}});
  CHECK(ErrorKindOf([&] { Read("a"); }) == ErrorKind::kUnavailable);
  CHECK(ErrorKindOf([&] { Write("a", "one"); }) == ErrorKind::kUnavailable);
  CHECK_FALSE(fake.Value("a").has_value());
}

TEST_CASE_METHOD(Fixture, "HttpObjectStore.ReportsRefusedAsUnavailable") {
  Write("a", "one");
  fake.Stop();
  RunUntil(context, [&] { return context.poll() == 0; });
  CHECK(ErrorKindOf([&] { Write("a", "two", 1); }) == ErrorKind::kUnavailable);
  CHECK(ErrorKindOf([&] { Read("a"); }) == ErrorKind::kUnavailable);
}

// Guards against calls that each wait for a timeout during an outage, and
// against a client that does not recover after it.
TEST_CASE_METHOD(Fixture, "HttpObjectStore.RefusesAtOnceInAnOutageAndReturns") {
  fake.SetFault({{"mode", "outage"}, {"kind", "error"}});
  for (auto i = 0; i < 5; ++i) {
    ErrorKindOf([&] { Read("a"); });
  }
  const auto sent = client.counts().failures;
  CHECK(ErrorKindOf([&] { Read("a"); }) == ErrorKind::kUnavailable);
  CHECK_THAT(last_message, Catch::Contains("retry in "));
  CHECK(client.counts().failures == sent);
  CHECK(client.last_retry_after() > Duration(0));
  fake.SetFault({{"mode", "none"}});
  RunUntil(context, [&] { return !ErrorKindOf([&] { Read("a"); }); });
  CHECK(client.circuit_state() == Circuit::State::kClosed);
}

// Guards against a read that fails because the platform closed an idle
// connection.
TEST_CASE_METHOD(Fixture, "HttpObjectStore.ReplacesClosedIdleConnections") {
  Write("a", "one");
  fake.SetFault({{"mode", "lose_answers"}, {"prefix", "b"}});
  ErrorKindOf([&] { Write("b", "x"); });
  fake.SetFault({{"mode", "none"}});
  CHECK(Write("a", "two", 1) == 2);
  CHECK(Read("a")->value == "two");
}

// Guards against a call that times out on an idle connection that a network
// failure has broken unnoticed.
TEST_CASE_METHOD(Fixture, "HttpObjectStore.ReplacesLongIdleConnections") {
  auto options = Options(fake.address());
  options.idle_limit = milliseconds(200);
  auto short_client = PlatformClient(context.get_executor(), options,
                                     &std::chrono::steady_clock::now,
                                     [this] { return random(); });
  auto short_store = HttpObjectStore(short_client);
  const auto read = [&] {
    RunAwaitable(context, short_store.Read("a", CallClass::kStatus));
  };
  read();
  read();
  CHECK(fake.accepted_connections() == 1);
  context.restart();
  context.run_for(milliseconds(250));
  read();
  CHECK(fake.accepted_connections() == 2);
}

TEST_CASE_METHOD(Fixture, "HttpObjectStore.ListsPagesInOrder") {
  for (const auto* key : {"p/c", "p/a", "p/b", "q/a"}) {
    Write(key, "x");
  }
  const auto page =
      RunAwaitable(context, store.List("p/", "p/a", 10, CallClass::kStatus));
  CHECK(page.entries == std::vector<ListEntry>{{"p/b", 1}, {"p/c", 1}});
  CHECK(page.revision == 4);
}

// Guards against changes that a watch misses, and watches that go uncounted.
TEST_CASE_METHOD(Fixture, "HttpObjectStore.WatchWakesOnAChange") {
  auto batch = std::optional<WatchBatch>();
  boost::asio::co_spawn(
      context, store.Watch("w/", 0, std::chrono::seconds(10)),
      [&](const std::exception_ptr& error, const WatchBatch& result) {
        CHECK(error == nullptr);
        batch = result;
      });
  RunUntil(context, [&] { return fake.Stats().at("watches_waiting") == 1; });
  CHECK(client.counts().watches_waiting == 1);
  Write("other", "x");
  CHECK_FALSE(batch.has_value());
  Write("w/a", "x");
  RunUntil(context, [&] { return batch.has_value(); });
  CHECK(batch.value_or(WatchBatch()).events ==
        std::vector<WatchEvent>{{"w/a", 1, 2}});
  CHECK(client.counts().watches_waiting == 0);
  CHECK(client.counts().watches == 1);
}

TEST_CASE_METHOD(Fixture, "HttpObjectStore.WatchEndsEmptyAtItsTimeout") {
  const auto batch =
      RunAwaitable(context, store.Watch("w/", 0, milliseconds(400)));
  CHECK(batch.events.empty());
}

TEST_CASE_METHOD(Fixture, "HttpObjectStore.ReportsAnExceededRate") {
  fake.SetFault({{"mode", "rates"}, {"writes_per_second", 0.1}});
  CHECK(ErrorKindOf([&] { Write("a", "one"); }) == ErrorKind::kOverloaded);
  CHECK(client.counts().rate_exceeded == 1);
  CHECK(client.last_retry_after() >= std::chrono::seconds(1));
}

TEST_CASE_METHOD(Fixture, "HttpObjectStore.CountsCallsByClass") {
  Write("a", "one");
  Read("a");
  Read("b");
  const auto& counts = client.counts();
  CHECK(counts.writes.at(static_cast<int>(CallClass::kResult)) == 1);
  CHECK(counts.reads.at(static_cast<int>(CallClass::kStatus)) == 2);
  CHECK(fake.Stats().at("calls") == json{{"read", 2}, {"write", 1}});
}

// Guards against a fake platform that shows the current hosts while a lag is
// set.
TEST_CASE_METHOD(Fixture, "HttpHostList.ShowsHostsWithALag") {
  auto hosts = HttpHostList(client);
  const auto host = json{{"name", "h"},
                         {"address", "127.0.0.1:1"},
                         {"zone", "z"},
                         {"state", "leaving"}};
  fake.SetFault({{"mode", "lag"}, {"lag_ms", 60'000}});
  fake.SetHosts(json::array({host}));
  CHECK(RunAwaitable(context, hosts.Fetch()).hosts.empty());
  fake.SetFault({{"mode", "lag"}, {"lag_ms", 0}});
  const auto snapshot = RunAwaitable(context, hosts.Fetch());
  CHECK(snapshot.version == 1);
  REQUIRE(snapshot.hosts.size() == 1);
  CHECK(snapshot.hosts.front() ==
        Host{"h", "127.0.0.1:1", ZoneName("z"), HostState::kLeaving});
}

// Guards against a 429 of the weight store that counts as an outage or reduces
// the rate of the object API.
TEST_CASE_METHOD(Fixture, "HttpWeightStore.ReturnsTheRetryTime") {
  auto weights = HttpWeightStore(client);
  CHECK_FALSE(RunAwaitable(context, weights.Request("m@1")).has_value());
  const auto wait = RunAwaitable(context, weights.Request("m@1"));
  CHECK(wait == milliseconds(1000));
  CHECK(client.counts().rate_exceeded == 0);
}

}  // namespace
}  // namespace kumquatgauge::store
