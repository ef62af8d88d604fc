#include "kumquatgauge/control/config_store.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <set>

#include "testing/support/run_awaitable.h"
#include "testing/support/unreliable_object_store.h"

namespace kumquatgauge::control {
namespace {

using Catch::Contains;
using nlohmann::json;
using testing::RunAwaitable;
using testing::RunUntil;
using testing::StoreFault;

// Size of the random fault test.
constexpr auto kWriters = 3;
constexpr auto kChanges = 120;

auto Request(const std::string& operation,
             const std::string& key,
             json value,
             std::optional<std::uint64_t> expected = {}) -> ChangeRequest {
  return ChangeRequest{.key = key,
                       .value = std::move(value),
                       .expected_revision = expected,
                       .operation = operation,
                       .who = "ann",
                       .from = "127.0.0.1:9",
                       .command = "set " + key};
}

struct Fixture {
  auto Store() -> ConfigStore {
    return {objects, [this] { return now; }, [this] { return random(); }};
  }
  auto Append(ConfigStore& store, ChangeRequest request) -> AuditRecord {
    return RunAwaitable(context, store.Append(std::move(request)));
  }
  auto Fill(ConfigStore& store, int changes) -> void {
    for (auto i = 0; i < changes; ++i) {
      const auto text = std::to_string(i);
      Append(store, Request("fill-" + text, "setting/s" + text, {{"n", i}}));
    }
  }
  auto Load(ConfigStore& store) -> Configuration {
    return RunAwaitable(context, store.Load()).configuration;
  }
  auto FailHeadWriteOnce(StoreFault fault) -> void {
    objects.set_fault_hook(
        [fault, used = false](const std::string& call,
                              const std::string& key) mutable {
          const auto hit = call == "write" && key == kConfigHeadKey && !used;
          used = used || hit;
          return hit ? fault : StoreFault::kNone;
        });
  }

  boost::asio::io_context context;
  testing::UnreliableObjectStore objects;
  WallTime now{std::chrono::hours(24 * 365 * 50)};
  std::mt19937_64 random{3};
};

// Runs the call and returns the kind and message of its error.
template <typename Call>
auto ErrorOf(Call call) -> std::pair<ErrorKind, std::string> {
  try {
    call();
  } catch (const Error& error) {
    return {error.kind(), error.what()};
  }
  return {ErrorKind::kInternal, "no error"};
}

// Guards against a change that takes effect without an audit record.
TEST_CASE_METHOD(Fixture, "ConfigStore.AppendsChangeAndAuditRecordTogether") {
  auto store = Store();
  Append(store, Request("1", "setting/a", {{"x", 1}}));
  const auto record = Append(store, Request("2", "setting/a", {{"x", 2}}));
  CHECK(record.revision == 2);
  CHECK(record.before == json{{"x", 1}});
  CHECK(record.after == json{{"x", 2}});
  auto reader = Store();
  CHECK(*Load(reader).Find("setting/a") == json{{"x", 2}});
  const auto audit = RunAwaitable(context, reader.ReadAudit({}));
  REQUIRE(audit.size() == 2);
  CHECK(audit.front() == record);
}

// Guards against a lost update between two operators.
TEST_CASE_METHOD(Fixture, "ConfigStore.LosingARaceNamesWinnerAndRemedy") {
  auto store = Store();
  auto other = Store();
  Append(store, Request("1", "setting/a", {{"x", 1}}, 0));
  Append(other, Request("2", "setting/a", {{"x", 2}}, 1));
  const auto [kind, message] = ErrorOf([&] {
    Append(store, Request("3", "setting/a", {{"x", 3}}, 1));
  });
  CHECK(kind == ErrorKind::kConflict);
  CHECK_THAT(message, Contains("revision 2 by ann (operation 2") &&
                          Contains("expected revision 2"));
}

// Guards against concurrent writers that overwrite each other's changes.
TEST_CASE_METHOD(Fixture, "ConfigStore.KeepsTheChangesOfConcurrentWriters") {
  auto stores = std::vector<ConfigStore>();
  for (auto i = 0; i < 4; ++i) {
    stores.push_back(Store());
  }
  auto done = 0;
  for (auto i = 0; i < 4; ++i) {
    auto request =
        Request(std::to_string(i), "setting/s" + std::to_string(i), {{"n", i}});
    boost::asio::co_spawn(
        context, stores[i].Append(std::move(request)),
        [&](const std::exception_ptr& error, const AuditRecord&) {
          CHECK(error == nullptr);
          ++done;
        });
  }
  RunUntil(context, [&] { return done == 4; });
  auto reader = Store();
  const auto configuration = Load(reader);
  CHECK(configuration.revision() == 4);
  CHECK(configuration.entries().size() == 4);
}

// Guards against applying a change twice when the client retries it.
TEST_CASE_METHOD(Fixture, "ConfigStore.AnswersARepeatWithTheFirstResult") {
  auto store = Store();
  const auto first = Append(store, Request("op", "setting/a", {{"x", 1}}, 0));
  Append(store, Request("2", "setting/a", {{"x", 2}}));
  SECTION("while it is in the log") {}
  SECTION("after it was moved to an audit object") {
    Fill(store, 70);
  }
  auto other = Store();
  CHECK(Append(other, Request("op", "setting/a", {{"x", 1}}, 0)) == first);
  CHECK(*Load(other).Find("setting/a") == json{{"x", 2}});
}

// Guards against applying a change twice, or refusing one that was applied,
// when the response to its write is lost.
TEST_CASE_METHOD(Fixture, "ConfigStore.ResolvesALostAnswer") {
  auto store = Store();
  Append(store, Request("1", "setting/a", {{"x", 1}}));
  SECTION("that had the effect") {
    FailHeadWriteOnce(StoreFault::kLoseAnswer);
  }
  SECTION("that had no effect") {
    FailHeadWriteOnce(StoreFault::kUnknownNoEffect);
  }
  SECTION("that has the effect after the first read-back") {
    objects.set_late_hook(
        [used = false]() mutable { return !std::exchange(used, true); });
    objects.set_arrival_hook([calls = 0]() mutable { return ++calls == 2; });
  }
  SECTION("that had the effect and is read back stale") {
    FailHeadWriteOnce(StoreFault::kLoseAnswer);
    objects.set_stale_hook([left = 4]() mutable { return left-- > 0; });
  }
  const auto record = Append(store, Request("2", "setting/a", {{"x", 2}}, 1));
  CHECK(record.revision == 2);
  CHECK(Load(store).revision() == 2);
}

// Guards against refusing a change whose first write is still in flight, after
// a stale read on a node that has just started.
TEST_CASE_METHOD(Fixture, "ConfigStore.ConfirmsAStaleHeadBeforeRefusing") {
  auto store = Store();
  Append(store, Request("1", "setting/a", {{"x", 1}}));
  Append(store, Request("2", "setting/a", nullptr));
  auto stale = 0;
  objects.set_stale_hook([&] { return ++stale == 1; });
  RunAwaitable(context,
               objects.Read(kConfigHeadKey, store::CallClass::kStatus));
  stale = 0;
  auto restarted = Store();
  const auto record =
      Append(restarted, Request("3", "setting/a", {{"x", 3}}, 0));
  CHECK(record.revision == 3);
}

// Guards against reporting "not applied" when the change may have been applied.
TEST_CASE_METHOD(Fixture,
                 "ConfigStore.ReportsUnknownOutcomeWhenItCannotReadBack") {
  auto store = Store();
  auto out = false;
  objects.set_fault_hook([&](const std::string& call, const std::string&) {
    if (out) {
      return StoreFault::kUnavailable;
    }
    out = call == "write";
    return out ? StoreFault::kLoseAnswer : StoreFault::kNone;
  });
  const auto [kind, message] = ErrorOf([&] {
    Append(store, Request("op", "setting/a", {{"x", 1}}));
  });
  CHECK(kind == ErrorKind::kUnknownOutcome);
  CHECK_THAT(message, Contains("repeat it with operation id op"));
  objects.set_fault_hook(nullptr);
  CHECK(Append(store, Request("op", "setting/a", {{"x", 1}})).revision == 1);
}

TEST_CASE_METHOD(Fixture,
                 "ConfigStore.ReportsUnavailableWhenTheStoreIsUnavailable") {
  auto store = Store();
  objects.set_fault_hook(
      [](const auto&, const auto&) { return StoreFault::kUnavailable; });
  const auto [kind, message] = ErrorOf([&] {
    Append(store, Request("1", "setting/a", {{"x", 1}}));
  });
  CHECK(kind == ErrorKind::kUnavailable);
}

// Guards against creating an empty configuration on a platform that lost its
// data.
TEST_CASE_METHOD(Fixture,
                 "ConfigStore.DoesNotCreateAHeadBelowTheHighestSeenRevision") {
  auto store = Store();
  Append(store, Request("1", "setting/a", {{"x", 1}}));
  const auto version = objects.objects().at(kConfigHeadKey).version;
  RunAwaitable(context, objects.Remove(kConfigHeadKey, version,
                                       store::CallClass::kStatus));
  const auto [kind, message] = ErrorOf([&] {
    Append(store, Request("2", "setting/a", {{"x", 2}}));
  });
  CHECK(kind == ErrorKind::kUnavailable);
  CHECK(objects.objects().count(kConfigHeadKey) == 0);
  CHECK(Load(store).revision() == 1);
}

// Guards against a head that grows without bound, and against losing history
// when the log is trimmed.
TEST_CASE_METHOD(Fixture, "ConfigStore.MovesAFullLogToSnapshotAndAudit") {
  auto store = Store();
  Fill(store, 200);
  CHECK(objects.objects().count("config/snapshot/000000000064") == 1);
  CHECK(objects.objects().count("audit/000000000065-000000000128") == 1);
  const auto head = json::parse(objects.objects().at(kConfigHeadKey).value);
  CHECK(head.at("log").size() == 200 - 3 * kMaxLogEntries);
  auto reader = Store();
  CHECK(Load(reader) == Load(store));
  auto filter = AuditFilter();
  filter.limit = 1000;
  const auto audit = RunAwaitable(context, reader.ReadAudit(filter));
  REQUIRE(audit.size() == 200);
  for (std::size_t i = 0; i < audit.size(); ++i) {
    REQUIRE(audit[i].revision == 200 - i);
  }
  filter.key = "setting/s10";
  const auto of_key = RunAwaitable(context, reader.ReadAudit(filter));
  REQUIRE(of_key.size() == 1);
  CHECK(of_key.front().revision == 11);
}

// Guards against removing records that must be retained or snapshots in use.
TEST_CASE_METHOD(Fixture, "ConfigStore.SweepsOnlyExpiredAudit") {
  auto store = Store();
  Fill(store, 130);
  now += kAuditRetention + std::chrono::hours(1);
  for (auto i = 0; i < 130; ++i) {
    const auto text = std::to_string(i);
    Append(store, Request("new-" + text, "setting/n", {{"n", i}}));
  }
  CHECK(RunAwaitable(context, store.Sweep(100)) == 4);
  CHECK(objects.objects().count("audit/000000000001-000000000064") == 0);
  CHECK(objects.objects().count("audit/000000000129-000000000192") == 1);
  CHECK(objects.objects().count("config/snapshot/000000000192") == 1);
  auto reader = Store();
  CHECK(Load(reader) == Load(store));
}

// Checks under random faults that every accepted change is present exactly once
// and in order, and is never reverted.
TEST_CASE_METHOD(Fixture, "ConfigStore.KeepsAcceptedChangesUnderRandomFaults") {
  const auto seed = std::random_device()();
  INFO("seed " << seed);
  random.seed(seed);
  auto faults = std::mt19937_64(seed + 1);
  objects.set_fault_hook([&](const auto&, const auto&) {
    const auto draw = faults() % 16;
    return draw == 0   ? StoreFault::kUnavailable
           : draw == 1 ? StoreFault::kLoseAnswer
           : draw == 2 ? StoreFault::kUnknownNoEffect
                       : StoreFault::kNone;
  });
  objects.set_stale_hook([&] { return faults() % 5 == 0; });
  objects.set_late_hook([&] { return faults() % 16 == 0; });
  objects.set_arrival_hook([&] { return faults() % 3 == 0; });

  auto accepted = std::map<std::string, std::uint64_t>();
  auto refused = std::set<std::string>();
  auto seen = std::uint64_t{0};
  auto running = 0;
  // Each writer retries a change with an unknown outcome until it is known, and
  // sometimes repeats an accepted one. It abandons some changes that were
  // reported as not applied; these must not be present at the end.
  const auto write = [&](int writer) -> boost::asio::awaitable<void> {
    auto store = std::make_unique<ConfigStore>(Store());
    for (auto i = 0; i < kChanges; ++i) {
      const auto operation = std::to_string(writer) + "-" + std::to_string(i);
      const auto key = "setting/" + std::to_string(faults() % 5);
      auto expected = std::optional<std::uint64_t>();
      if (faults() % 2 == 0) {
        expected = store->latest().RevisionOf(key);
      }
      const auto value = json{{"by", operation}};
      const auto wanted = std::size_t{faults() % 8 == 0 ? 2U : 1U};
      auto answers = std::size_t{0};
      auto finished = false;
      auto uncertain = false;
      while (!finished) {
        if (faults() % 50 == 0) {
          store = std::make_unique<ConfigStore>(Store());  // Restarted.
        }
        auto request = Request(operation, key, value, expected);
        try {
          const auto record = co_await store->Append(std::move(request));
          const auto [known, fresh] =
              accepted.emplace(operation, record.revision);
          CHECK(known->second == record.revision);
          CHECK(refused.count(operation) == 0);
          CHECK(record.operation == operation);
          seen = std::max(seen, record.revision);
          finished = ++answers == wanted;
        } catch (const Error& error) {
          uncertain |= error.kind() == ErrorKind::kUnknownOutcome;
          const auto conflict = error.kind() == ErrorKind::kConflict;
          const auto gives_up = !uncertain && answers == 0 && faults() % 2 == 0;
          if (conflict || gives_up) {
            CHECK(accepted.count(operation) == 0);
            refused.insert(operation);
            finished = true;
          }
        }
        const auto revision = store->latest().revision();
        try {
          const auto loaded = co_await store->Load();
          CHECK(loaded.configuration.revision() >= revision);
        } catch (const Error&) {
          // The store is temporarily unavailable.
        }
      }
    }
    --running;
  };
  for (auto writer = 0; writer < kWriters; ++writer) {
    ++running;
    boost::asio::co_spawn(context, write(writer),
                          [](const std::exception_ptr& error) {
                            if (error) {
                              std::rethrow_exception(error);
                            }
                          });
  }
  RunUntil(context, [&] { return running == 0; });

  objects.set_fault_hook(nullptr);
  objects.set_stale_hook(nullptr);
  objects.set_late_hook(nullptr);
  auto reader = Store();
  auto filter = AuditFilter();
  filter.limit = 100'000;
  auto audit = RunAwaitable(context, reader.ReadAudit(filter));
  std::reverse(audit.begin(), audit.end());
  auto last = std::map<std::string, AuditRecord>();
  auto found = std::map<std::string, std::uint64_t>();
  for (std::size_t i = 0; i < audit.size(); ++i) {
    REQUIRE(audit[i].revision == i + 1);
    const auto before = last.find(audit[i].key);
    CHECK(audit[i].before ==
          (before == last.end() ? json() : before->second.after));
    last[audit[i].key] = audit[i];
    CHECK(found.emplace(audit[i].operation, audit[i].revision).second);
  }
  CHECK(found == accepted);
  const auto configuration = Load(reader);
  CHECK(configuration.revision() == audit.size());
  CHECK(seen == audit.size());
  for (const auto& [key, record] : last) {
    CHECK(*configuration.Find(key) == record.after);
  }
}

}  // namespace
}  // namespace kumquatgauge::control
