#include "kumquatgauge/serving/relay_memory.h"

#include <catch2/catch.hpp>

namespace kumquatgauge::serving {
namespace {

using std::chrono::milliseconds;
using EndReason = RelayMemory::EndReason;

constexpr std::size_t kBudget = 10'000'000;

auto At(int ms) -> MonotonicTime {
  return MonotonicTime() + milliseconds(ms);
}

struct Fixture {
  auto Set(RelayMemory::ResponseId response,
           std::size_t bytes,
           std::uint64_t read,
           int ms) -> void {
    memory.Set(response, {bytes, read, true}, At(ms));
  }

  // Returns the responses that are terminated.
  auto Terminated(int ms) -> std::vector<RelayMemory::ResponseId> {
    auto responses = std::vector<RelayMemory::ResponseId>();
    for (const auto& termination : memory.TakeTerminations(At(ms))) {
      responses.push_back(termination.response);
    }
    return responses;
  }

  RelayMemory memory{{.budget = kBudget}};
};

// Guards against a caller that never reads, whose response is kept until its
// replica cuts it off.
TEST_CASE_METHOD(Fixture, "RelayMemory.TerminatesAResponseWithoutProgress") {
  Set(1, 1'000, 0, 0);
  Set(1, 50'000, 0, 1'000);  // More is held, but nothing was read.
  CHECK(Terminated(1'999).empty());
  CHECK(memory.TakeTerminations(At(2'000)) ==
        std::vector<RelayMemory::Termination>{
            {1, EndReason::kStalled, 50'000, milliseconds(2'000)}});
  CHECK(memory.bytes() == 0);
  CHECK(Terminated(9'000).empty());
}

// Guards against a slow reader of a whole answer, which no replica waits for,
// that is cut off between two openings of its window.
TEST_CASE_METHOD(Fixture, "RelayMemory.WaitsLongerIfNoReplicaWaits") {
  memory.Set(1, {50'000, 0, false}, At(0));
  Set(2, 50'000, 0, 1'000);
  CHECK(Terminated(4'999) == std::vector<RelayMemory::ResponseId>{2});
  CHECK(Terminated(5'000) == std::vector<RelayMemory::ResponseId>{1});
}

// Guards against a steady caller that is taken for one that never reads.
TEST_CASE_METHOD(Fixture, "RelayMemory.KeepsAResponseThatIsReadSlowly") {
  for (auto second = 0; second < 60; ++second) {
    Set(1, 100'000, static_cast<std::uint64_t>(second), second * 1'000);
    CHECK(Terminated(second * 1'000 + 999).empty());
  }
}

// Guards against ending responses that are read while others are not, and more
// of them than needed.
TEST_CASE_METHOD(Fixture, "RelayMemory.TerminatesTheLongestStalledFirst") {
  Set(1, 4'000'000, 0, 0);
  Set(2, 4'000'000, 0, 300);
  Set(3, 4'000'000, 0, 100);
  Set(4, 4'000'000, 0, 0);
  Set(1, 4'000'000, 1, 900);
  CHECK(Terminated(1'000) == std::vector<RelayMemory::ResponseId>{4, 3});
  CHECK(memory.bytes() == 8'000'000);
}

// Guards against ending responses of callers that read, only since many large
// answers end at once.
TEST_CASE_METHOD(Fixture, "RelayMemory.KeepsWhatIsReadWhenTheBudgetIsUsedUp") {
  for (auto response = 1; response <= 5; ++response) {
    Set(static_cast<RelayMemory::ResponseId>(response), 4'000'000, 0, 0);
  }
  CHECK(memory.IsOverBudget());
  CHECK(Terminated(499).empty());
}

// Guards against a total that drifts, so that it ends up above the budget with
// nothing held.
TEST_CASE_METHOD(Fixture, "RelayMemory.CountsNothingAfterAllHasEnded") {
  Set(1, 5'000, 0, 0);
  Set(1, 3'000, 2'000, 1);
  const auto answer = memory.BeginAnswer();
  memory.SetAnswer(answer, 7'000);
  memory.SetAnswer(answer, 2'000);
  CHECK(memory.bytes() == 5'000);
  memory.Remove(1);
  memory.Remove(1);
  memory.EndAnswer(answer);
  CHECK(memory.bytes() == 0);
  CHECK(memory.responses() == 0);
}

// Guards against answers that each wait for the memory of the others until all
// of them time out.
TEST_CASE_METHOD(Fixture, "RelayMemory.LetsTheFirstAnswerBeReadOn") {
  const auto first = memory.BeginAnswer();
  const auto second = memory.BeginAnswer();
  const auto small = memory.BeginAnswer();
  memory.SetAnswer(first, kBudget / 2);
  memory.SetAnswer(second, kBudget / 2);
  memory.SetAnswer(small, 20'000);
  CHECK(memory.MayReadOn(first));
  CHECK_FALSE(memory.MayReadOn(second));
  CHECK(memory.MayReadOn(small));
  memory.EndAnswer(first);
  CHECK(memory.MayReadOn(second));
  // Not while callers hold the memory.
  Set(1, kBudget, 0, 0);
  CHECK_FALSE(memory.MayReadOn(second));
}

// Guards against streams that together exceed the budget, as each may hold as
// much as if it was alone.
TEST_CASE_METHOD(Fixture, "RelayMemory.ReadsLessAheadWhenTheBudgetIsUsed") {
  const auto settings = RelayMemorySettings();
  CHECK(memory.MaxStreamBytes() == settings.max_stream);
  Set(1, kBudget * 3 / 4, 0, 0);
  CHECK(memory.MaxStreamBytes() == kBudget / 32);
  Set(1, 2 * kBudget, 0, 0);
  CHECK(memory.MaxStreamBytes() == settings.min_stream);
}

}  // namespace
}  // namespace kumquatgauge::serving
