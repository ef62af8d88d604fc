#include "kumquatgauge/serving/job_archive.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <optional>
#include <utility>

#include "kumquatgauge/base/error.h"
#include "testing/support/memory_object_store.h"
#include "testing/support/run_awaitable.h"
#include "testing/support/unreliable_object_store.h"

namespace kumquatgauge::serving {
namespace {

using testing::RunAwaitable;
using testing::StoreFault;

const JobId kJob("7c41");

auto MakeRecord() -> JobRecord {
  return {kJob, "host.example", "/jobs/1", 1'000, R"({"items":[1,2]})"};
}

auto MakeState(const std::string& owner) -> JobState {
  return {kJob, NodeId(owner), 5, 1'000, 2, false, false};
}

auto MakeChunk(const std::string& writer, const std::vector<std::string>& items)
    -> ResultChunk {
  auto chunk = ResultChunk{kJob, {}, writer, {}};
  for (const auto& item : items) {
    chunk.results.push_back({item, true, "text of " + item});
  }
  return chunk;
}

struct Fixture {
  boost::asio::io_context context;
  testing::MemoryObjectStore store;
  JobArchive archive{store};
};

TEST_CASE("JobArchive.StoresRecordAndState") {
  auto fixture = Fixture();
  RunAwaitable(fixture.context,
               fixture.archive.Create(MakeRecord(), MakeState("n1")));
  CHECK(RunAwaitable(fixture.context, fixture.archive.LoadRecord(kJob)) ==
        MakeRecord());
  const auto state =
      RunAwaitable(fixture.context, fixture.archive.LoadState(kJob));
  REQUIRE(state);
  CHECK(state.value_or(StoredState()).state == MakeState("n1"));
}

// Guards against accepting a job twice when the caller repeats it after losing
// the 202 answer.
TEST_CASE("JobArchive.ReturnsTheFirstStateWhenAJobIsCreatedAgain") {
  auto fixture = Fixture();
  RunAwaitable(fixture.context,
               fixture.archive.Create(MakeRecord(), MakeState("n1")));
  const auto again = RunAwaitable(
      fixture.context, fixture.archive.Create(MakeRecord(), MakeState("n2")));
  CHECK(again.state.owner == NodeId("n1"));
}

// Guards against submissions that exceed the size limit of one stored value.
TEST_CASE("JobArchive.SplitsLargeSubmissionsAndJoinsThemAgain") {
  auto fixture = Fixture();
  auto record = MakeRecord();
  // Two-byte characters, so that a part boundary could fall inside one.
  for (auto count = 0; count < 700'000; ++count) {
    record.submission += "\xC3\xA9";
  }
  RunAwaitable(fixture.context,
               fixture.archive.Create(record, MakeState("n1")));
  CHECK(RunAwaitable(fixture.context, fixture.archive.LoadRecord(kJob)) ==
        record);
}

// Guards against reporting a job as not run although its state may have been
// stored.
TEST_CASE("JobArchive.ResolvesALostAnswerByReadingBack") {
  auto fixture = Fixture();
  fixture.store.set_fault_hook([](const std::string& call,
                                  const std::string& key) {
    return call == "write" && key == StateKey(kJob) ? StoreFault::kLoseAnswer
                                                    : StoreFault::kNone;
  });
  const auto stored = RunAwaitable(
      fixture.context, fixture.archive.Create(MakeRecord(), MakeState("n1")));
  CHECK(stored.state == MakeState("n1"));
}

// Guards against answering that nothing of a job runs, although its state may
// be stored and the job taken over.
TEST_CASE("JobArchive.ReportsAnUnknownOutcomeWhenItCannotReadBack") {
  auto fixture = Fixture();
  fixture.store.set_fault_hook([](const std::string& call,
                                  const std::string& key) {
    if (key != StateKey(kJob)) {
      return StoreFault::kNone;
    }
    return call == "write" ? StoreFault::kLoseAnswer : StoreFault::kUnavailable;
  });
  auto kind = std::optional<ErrorKind>();
  try {
    RunAwaitable(fixture.context,
                 fixture.archive.Create(MakeRecord(), MakeState("n1")));
  } catch (const Error& error) {
    kind = error.kind();
  }
  CHECK(kind == ErrorKind::kUnknownOutcome);
  CHECK(fixture.store.objects().contains(StateKey(kJob)));
}

// Guards against two owners of a job storing results at the same position.
TEST_CASE("JobArchive.ReturnsTheStoredChunkToALaterWriter") {
  auto fixture = Fixture();
  const auto first = MakeChunk("n1.1", {"a", "b"});
  const auto second = MakeChunk("n2.1", {"c"});
  CHECK(RunAwaitable(fixture.context, fixture.archive.Append(first)) == first);
  CHECK(RunAwaitable(fixture.context, fixture.archive.Append(second)) == first);
}

// Guards against a former owner whose write takes effect after the takeover: it
// would answer reads with results that the new owner does not know, so that
// results that callers have read are gone at other nodes.
TEST_CASE("JobArchive.ClosesTheListToWritesOfAFormerOwner") {
  auto fixture = Fixture();
  const auto listed = MakeChunk("n1.1", {"a"});
  RunAwaitable(fixture.context, fixture.archive.Append(listed));
  const auto known = RunAwaitable(
      fixture.context, fixture.archive.CloseResults(kJob, "n2.1", 3));
  CHECK(known.results == listed.results);
  auto late = MakeChunk("n1.2", {"b"});
  late.place = {1, 0};
  CHECK(RunAwaitable(fixture.context, fixture.archive.Append(late)) != late);
  auto next = MakeChunk("n2.2", {"c"});
  next.place = known.end();
  CHECK(RunAwaitable(fixture.context, fixture.archive.Append(next)) == next);
  const auto all = RunAwaitable(
      fixture.context, fixture.archive.LoadResults(kJob, StoredResults(), 3));
  REQUIRE(all.results.size() == 2);
  CHECK(all.results[1].item == "c");
}

// A store whose inexact reads show nothing yet.
class LaggingStore : public testing::MemoryObjectStore {
 public:
  auto Read(std::string key, store::CallClass call_class)
      -> boost::asio::awaitable<std::optional<store::StoredObject>> override {
    if (call_class == store::CallClass::kStatus) {
      co_return std::nullopt;
    }
    co_return co_await MemoryObjectStore::Read(key, call_class);
  }
};

// Guards against results that callers have read and that are gone at a new
// owner, or at another reader, because inexact reads do not show them yet.
TEST_CASE("JobArchive.FindsResultsThatInexactReadsDoNotShow") {
  boost::asio::io_context context;
  auto store = LaggingStore();
  auto archive = JobArchive(store);
  const auto listed = MakeChunk("n1.1", {"a"});
  RunAwaitable(context, archive.Append(listed));
  const auto read =
      RunAwaitable(context, archive.LoadResults(kJob, StoredResults(), 3));
  CHECK(read.results == listed.results);
  const auto closed =
      RunAwaitable(context, archive.CloseResults(kJob, "n2.1", 3));
  CHECK(closed.results == listed.results);
  CHECK(closed.closings == 1);
}

// Guards against a new owner that overlooks what the former one has stored
// while the list was read.
TEST_CASE("JobArchive.KeepsResultsThatWereStoredBeforeTheListIsClosed") {
  auto fixture = Fixture();
  auto written = false;
  auto former_owner = boost::asio::io_context();
  fixture.store.set_fault_hook(
      [&](const std::string& call, const std::string& /*key*/) {
        if (call == "write" && !std::exchange(written, true)) {
          RunAwaitable(former_owner,
                       fixture.archive.Append(MakeChunk("n1.1", {"a", "b"})));
        }
        return StoreFault::kNone;
      });
  const auto known = RunAwaitable(
      fixture.context, fixture.archive.CloseResults(kJob, "n2.1", 3));
  CHECK(known.results.size() == 2);
  CHECK(known.closings == 1);
}

// Guards against a takeover that ends in the middle, and a second one after it.
TEST_CASE("JobArchive.ClosesAListAgainAtTheNextTakeover") {
  auto fixture = Fixture();
  RunAwaitable(fixture.context, fixture.archive.CloseResults(kJob, "n2.1", 3));
  const auto second = RunAwaitable(
      fixture.context, fixture.archive.CloseResults(kJob, "n3.1", 3));
  CHECK(second.closings == 2);
  auto late = MakeChunk("n2.2", {"a"});
  late.place = {0, 1};
  CHECK(RunAwaitable(fixture.context, fixture.archive.Append(late)) != late);
}

// Guards against a further write for each takeover of a complete list.
TEST_CASE("JobArchive.DoesNotCloseACompleteList") {
  auto fixture = Fixture();
  RunAwaitable(fixture.context,
               fixture.archive.Append(MakeChunk("n1.1", {"a", "b"})));
  const auto known = RunAwaitable(
      fixture.context, fixture.archive.CloseResults(kJob, "n2.1", 2));
  CHECK(known.results.size() == 2);
  CHECK(fixture.store.write_count() == 1);
}

TEST_CASE("JobArchive.ReplacesAStateOnlyAtItsVersion") {
  auto fixture = Fixture();
  const auto created = RunAwaitable(
      fixture.context, fixture.archive.Create(MakeRecord(), MakeState("n1")));
  auto ended = created.state;
  ended.ended = true;
  const auto replaced = RunAwaitable(
      fixture.context, fixture.archive.ReplaceState(ended, created.version));
  REQUIRE(replaced);
  CHECK(replaced.value_or(StoredState()).state.ended);
  CHECK_FALSE(RunAwaitable(
      fixture.context,
      fixture.archive.ReplaceState(MakeState("n2"), created.version)));
}

TEST_CASE("JobArchive.RemovesEverythingOfAJob") {
  auto fixture = Fixture();
  const auto created = RunAwaitable(
      fixture.context, fixture.archive.Create(MakeRecord(), MakeState("n1")));
  RunAwaitable(fixture.context,
               fixture.archive.Append(MakeChunk("n1.1", {"a", "b"})));
  const auto known = RunAwaitable(
      fixture.context, fixture.archive.CloseResults(kJob, "n2.1", 3));
  auto further = MakeChunk("n2.2", {"c"});
  further.place = known.end();
  RunAwaitable(fixture.context, fixture.archive.Append(further));
  RunAwaitable(fixture.context,
               fixture.archive.Remove(created.state, created.version));
  CHECK(fixture.store.objects().empty());
}

TEST_CASE("JobArchive.RejectsAStateOfAnotherWriter") {
  CHECK_THROWS_AS(DecodeState(kJob, R"({"owner":5})"), Error);
  CHECK_THROWS_AS(DecodeState(kJob, "no json"), Error);
}

// Guards against failures of items that a new owner does not learn of.
TEST_CASE("JobArchive.KeepsTheFailuresThatAnOwnerHandsOver") {
  auto fixture = Fixture();
  auto first = MakeChunk("n1.1", {"a"});
  first.failures = {{"b", 1}, {"c", 1}};
  RunAwaitable(fixture.context, fixture.archive.Append(first));
  auto handover = MakeChunk("n1.2", {});
  handover.place.position = 1;
  handover.failures = {{"b", 2}};
  RunAwaitable(fixture.context, fixture.archive.Append(handover));
  const auto closed = RunAwaitable(
      fixture.context, fixture.archive.CloseResults(kJob, "n2.1", 3));
  CHECK(closed.results == first.results);
  CHECK(closed.closings == 2);
  CHECK(closed.failures == FailedRuns{{"b", 2}, {"c", 1}});
}

}  // namespace
}  // namespace kumquatgauge::serving
