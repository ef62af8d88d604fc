#include <catch2/catch.hpp>
#include <cstdlib>
#include <iostream>

#include "batch/test_cluster.h"

namespace kumquatgauge::batch {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;
using testing::TestCluster;
using testing::TestJob;

const auto kNoError = std::string();
constexpr auto kEvents = 60;

auto EnvironmentOr(const char* name, std::uint64_t fallback) -> std::uint64_t {
  const auto* text = std::getenv(name);
  return text == nullptr ? fallback : std::stoull(text);
}

// One run with random nodes, jobs and faults derived from a seed.
class RandomRun {
 public:
  explicit RandomRun(std::uint64_t seed) : cluster_(seed) {
    cluster_.item_time = milliseconds(500 + Draw(3'000));
    cluster_.slots = 8 + Draw(100);
    for (const auto* name : {"a", "b", "c", "d"}) {
      cluster_.StartNode(name);
    }
  }

  // Returns a description of the failure, or an empty string.
  auto Run() -> std::string {
    for (auto event = 0; event < kEvents && failure_.empty(); ++event) {
      InjectRandomEvent();
      cluster_.Advance(milliseconds(100) * (1 + Draw(60)));
    }
    Restore();
    for (auto& [key, job] : jobs_) {
      Check(job);
    }
    return failure_;
  }

 private:
  auto Draw(std::uint64_t bound) -> std::uint64_t {
    return cluster_.random() % bound;
  }
  auto Name() -> std::string { return std::string(1, "abcd"[Draw(4)]); }

  auto InjectRandomEvent() -> void {
    switch (Draw(13)) {
      case 0:
      case 1:
      case 2:
        SubmitNew();
        break;
      case 3:
        ResubmitRandomJob();
        break;
      case 4:
        if (Draw(2) == 0) {
          CancelRandomJob();
        }
        break;
      case 5:
        cluster_.Kill(Name());
        break;
      case 6:
        cluster_.StartNode(Name());
        break;
      case 7:
        cluster_.Pause(Name());
        break;
      case 8:
        cluster_.Wake(Name());
        break;
      case 9:
        cluster_.MakeStoreUnavailable();
        break;
      case 10:
        cluster_.LoseAnswers(static_cast<unsigned>(10 + Draw(60)));
        break;
      case 11:
        cluster_.store_delay = milliseconds(Draw(2'500));
        break;
      default:
        cluster_.ClearFaults();
        break;
    }
  }

  auto SubmitNew() -> void {
    const auto key = std::to_string(jobs_.size());
    auto job = cluster_.MakeJob(key, 1 + Draw(900));
    if (Draw(3) == 0) {
      TestCluster::AddItem(job, "bad", R"({"prompt": "malformed prompt"})");
      TestCluster::AddItem(job, "killer", R"({"prompt": "kills replica"})");
    }
    jobs_.emplace(key, job);
    Submit(job);
  }

  auto ResubmitRandomJob() -> void {
    if (!jobs_.empty()) {
      Submit(std::next(jobs_.begin(),
                       static_cast<std::ptrdiff_t>(Draw(jobs_.size())))
                 ->second);
    }
  }

  // Submits once. The node may be killed afterwards.
  auto Submit(const TestJob& job) -> void {
    const auto name = cluster_.RandomLiveNode();
    if (name.empty()) {
      return;
    }
    const auto known = cluster_.IsAccepted(job);
    try {
      cluster_.Submit(name, job);
    } catch (const Error& error) {
      const auto refused = error.kind() == ErrorKind::kUnavailable;
      if (refused && !known && cluster_.IsAccepted(job)) {
        failure_ =
            "reported as not accepted, but accepted: " + job.request.client_key;
      }
      return;
    }
    if (!cluster_.IsAccepted(job)) {
      failure_ = "acknowledged, but not stored: " + job.request.client_key;
    }
    if (Draw(4) == 0) {
      cluster_.Kill(name);
    }
  }

  auto CancelRandomJob() -> void {
    const auto name = cluster_.RandomLiveNode();
    if (jobs_.empty() || name.empty()) {
      return;
    }
    const auto& job = std::next(jobs_.begin(),
                                static_cast<std::ptrdiff_t>(Draw(jobs_.size())))
                          ->second;
    try {
      const auto state = cluster_.Wait(cluster_.Service(name).Cancel(job.id()));
      acknowledged_status_[job.request.client_key] = state.status;
      acknowledged_results_[job.request.client_key] = cluster_.Results(job);
    } catch (const Error&) {  // Nothing is acknowledged.
    }
  }

  auto Restore() -> void {
    cluster_.ClearFaults();
    for (const auto* name : {"a", "b", "c", "d"}) {
      if (!cluster_.nodes.at(name).service) {
        cluster_.StartNode(name);
      }
      cluster_.Wake(name);
    }
  }

  auto Check(const TestJob& job) -> void {
    const auto& key = job.request.client_key;
    cluster_.SubmitUntilAccepted(job);
    const auto finished =
        cluster_.AdvanceUntil(hours(1), [&] { return cluster_.Finished(job); });
    if (!finished) {
      failure_ = "not finished: " + key + " with " +
                 std::to_string(cluster_.State(job).results()) + " results";
      return;
    }
    const auto fault = cluster_.FindResultError(job);
    if (!fault.empty()) {
      failure_ = key + ": " + fault;
    }
    const auto acknowledged = acknowledged_status_.find(key);
    if (acknowledged != acknowledged_status_.end() &&
        (cluster_.State(job).status != acknowledged->second ||
         cluster_.Results(job) != acknowledged_results_[key])) {
      failure_ = key + " changed after its end was acknowledged";
    }
  }

  TestCluster cluster_;
  std::map<std::string, TestJob> jobs_;
  std::map<std::string, JobStatus> acknowledged_status_;
  std::map<std::string, std::vector<ItemResult>> acknowledged_results_;
  std::string failure_;
};

// Guards against faults that only a combination of events causes. Set
// KQG_BATCH_SEED to repeat a run and KQG_BATCH_RUNS to change the number of
// runs.
TEST_CASE("BatchFaults.HoldsInvariantsUnderRandomFaults") {
  const auto first = EnvironmentOr("KQG_BATCH_SEED", 1);
  const auto runs = EnvironmentOr("KQG_BATCH_RUNS", 12);
  std::cout << "first seed " << first << ", runs " << runs << '\n';
  for (auto seed = first; seed < first + runs; ++seed) {
    const auto fault = RandomRun(seed).Run();
    INFO("KQG_BATCH_SEED=" << seed);
    CHECK(fault == kNoError);
  }
}

}  // namespace
}  // namespace kumquatgauge::batch
