#include "kumquatgauge/batch/submission.h"

#include <catch2/catch.hpp>
#include <optional>

#include "batch/test_cluster.h"

namespace kumquatgauge::batch {
namespace {

using testing::StoreFault;
using testing::TestCluster;
using testing::TestJob;

// Submits `body` in pieces of `piece` bytes, without a node.
auto SubmitBody(TestCluster& cluster,
                const SubmissionRequest& request,
                const std::string& body,
                std::size_t piece = 1'000'000) -> SubmissionResult {
  auto submission = Submission(
      cluster.store, request, [&cluster] { return cluster.WallNow(); },
      [&cluster] { return cluster.random(); });
  for (std::size_t at = 0; at < body.size(); at += piece) {
    cluster.Wait(submission.Append(body.substr(at, piece)));
  }
  return cluster.Wait(submission.Finish());
}

auto KindOf(TestCluster& cluster, const TestJob& job, const std::string& body)
    -> std::optional<ErrorKind> {
  try {
    SubmitBody(cluster, job.request, body);
    return std::nullopt;
  } catch (const Error& error) {
    return error.kind();
  }
}

auto StoredItems(TestCluster& cluster, const JobManifest& manifest)
    -> std::vector<ItemInput> {
  auto jobs = cluster.DirectStore();
  auto items = std::vector<ItemInput>();
  for (std::size_t i = 0; i < manifest.chunks.size(); ++i) {
    const auto chunk =
        cluster.Direct(jobs.ReadInput(manifest.id, i, manifest.chunks[i].hash));
    items.insert(items.end(), chunk.begin(), chunk.end());
  }
  return items;
}

// Guards against modified bodies, and against lines lost where the network
// splits the body.
TEST_CASE("Submission.KeepsEveryBodyByteForByteInPiecesOfAnySize") {
  const auto line = std::string(
      "{\"body\" : {\"b\":1.50e0,\"a\":[\"}\\\"\", {}] , \"b\":2} , "
      "\"custom_id\":\"\xc3\xa9\\u0041\"}\r\n");
  for (const auto piece : {1U, 7U, 1'000U}) {
    auto cluster = TestCluster();
    const auto job = cluster.MakeJob("j", 600);
    const auto result =
        SubmitBody(cluster, job.request, line + job.body, piece);
    const auto items = StoredItems(cluster, result.manifest);
    REQUIRE(items.size() == 601);
    CHECK(result.manifest.chunks.size() == 3);
    CHECK(items[0].custom_id ==
          "\xc3\xa9"
          "A");
    CHECK(items[0].body == R"({"b":1.50e0,"a":["}\"", {}] , "b":2})");
    CHECK(items[600].line == 601);
    CHECK(items[600].body == job.bodies.at("j-600"));
  }
}

TEST_CASE("Submission.NamesEachMalformedLineByNumber") {
  auto cluster = TestCluster();
  const auto job = cluster.MakeJob("j", 0);
  const auto body = std::string(R"({"custom_id":"x","body":{}}
{"custom_id":"x","body":{}}
[1]
{"custom_id":"y"}

{"body":{}}
{"custom_id":"z","body":7}
not json
)") + R"({"custom_id":"long","body":{"p":")" +
                    std::string(kMaxLineBytes, 'x') + "\"}}\n" +
                    R"({"custom_id":"last","body":{}})";
  const auto manifest = SubmitBody(cluster, job.request, body).manifest;
  auto lines = std::vector<std::size_t>();
  for (const auto& rejected : manifest.rejected) {
    lines.push_back(rejected.line);
  }
  CHECK(lines == std::vector<std::size_t>{2, 3, 4, 6, 7, 8, 9});
  CHECK(manifest.items == 2);
}

// Guards against a manifest that exceeds the platform's object size.
TEST_CASE("Submission.ListsABoundedNumberOfMalformedLines") {
  auto cluster = TestCluster();
  const auto job = cluster.MakeJob("j", 1);
  auto body = job.body;
  for (auto i = 0; i < 500; ++i) {
    body += "?\n";
  }
  const auto manifest = SubmitBody(cluster, job.request, body).manifest;
  CHECK(manifest.rejected.size() == kMaxListedRejections);
  CHECK(manifest.rejected_count == 500);
}

TEST_CASE("Submission.RefusesJobsThatCanNotBeAccepted") {
  auto cluster = TestCluster();
  auto job = cluster.MakeJob("j", 2);
  CHECK(KindOf(cluster, job, "") == ErrorKind::kInvalidArgument);
  CHECK(KindOf(cluster, job, "?\n") == ErrorKind::kInvalidArgument);
  job.request.due = cluster.WallMs();
  CHECK(KindOf(cluster, job, job.body) == ErrorKind::kInvalidArgument);
  CHECK_FALSE(cluster.IsAccepted(job));
}

TEST_CASE("Submission.RefusesMoreItemsThanAJobMayHold") {
  auto cluster = TestCluster();
  const auto job = cluster.MakeJob("j", kMaxItemsPerJob + 1);
  CHECK(KindOf(cluster, job, job.body) == ErrorKind::kInvalidArgument);
}

// Guards against a resubmission that is refused because time has passed.
TEST_CASE("Submission.AnswersTheSameJobAgainAfterItsDueTime") {
  auto cluster = TestCluster();
  const auto job = cluster.MakeJob("j", 3);
  const auto first = SubmitBody(cluster, job.request, job.body);
  CHECK(first.created);
  cluster.clock.Advance(std::chrono::hours(2));
  const auto again = SubmitBody(cluster, job.request, job.body);
  CHECK_FALSE(again.created);
  CHECK(again.manifest == first.manifest);
}

// Guards against a job that mixes the chunks of two bodies.
TEST_CASE("Submission.KeepsTwoBodiesUnderOneKeyApart") {
  auto cluster = TestCluster();
  const auto first = cluster.MakeJob("j", 300, "first");
  const auto second = cluster.MakeJob("j", 300, "second");
  auto abandoned = Submission(
      cluster.store, first.request, [&] { return cluster.WallNow(); },
      [&] { return cluster.random(); });
  cluster.Wait(abandoned.Append(first.body));
  const auto result = SubmitBody(cluster, second.request, second.body);
  CHECK(KindOf(cluster, first, first.body) == ErrorKind::kConflict);
  try {
    cluster.Wait(abandoned.Finish());
    FAIL("two bodies were accepted");
  } catch (const Error& error) {
    CHECK(error.kind() == ErrorKind::kConflict);
  }
  for (const auto& item : StoredItems(cluster, result.manifest)) {
    CHECK(item.body == second.bodies.at(item.custom_id));
  }
}

// Guards against reporting an accepted job as not accepted, and against losing
// an acknowledged one, for every failing platform call and kind of failure.
TEST_CASE("Submission.ReportsTheOutcomeWhicheverCallFails") {
  const auto faults = {StoreFault::kUnavailable, StoreFault::kLoseAnswer,
                       StoreFault::kUnknownNoEffect};
  for (const auto fault : faults) {
    for (auto failing = 0; failing < 12; ++failing) {
      for (const auto lasting : {false, true}) {
        auto cluster = TestCluster();
        const auto job = cluster.MakeJob("j", 300);
        auto calls = 0;
        cluster.set_fault([&](const auto& call, const auto& /*key*/) {
          const auto now = calls++;
          const auto fails = lasting ? now >= failing : now == failing;
          const auto answers_nothing =
              call == "read" && fault != StoreFault::kUnavailable;
          return !fails            ? StoreFault::kNone
                 : answers_nothing ? StoreFault::kUnavailable
                                   : fault;
        });
        const auto kind = KindOf(cluster, job, job.body);
        INFO("fault " << static_cast<int>(fault) << " at call " << failing);
        if (!kind) {
          CHECK(cluster.IsAccepted(job));
        } else if (*kind == ErrorKind::kUnavailable) {
          CHECK_FALSE(cluster.IsAccepted(job));
        } else {
          CHECK(*kind == ErrorKind::kUnknownOutcome);
        }
        cluster.ClearFaults();
        const auto again = SubmitBody(cluster, job.request, job.body);
        CHECK(again.manifest.items == 300);
        CHECK(StoredItems(cluster, again.manifest).size() == 300);
      }
    }
  }
}

}  // namespace
}  // namespace kumquatgauge::batch
