// Each test checks that one kind of violation is found and that the closest
// allowed case is not reported.

#include "testing/soak/checker.h"

#include <catch2/catch.hpp>

#include "testing/gateway/fake_servers.h"
#include "testing/gateway/gateway_process.h"

namespace kumquatgauge::testing {
namespace {

auto Reply(int status, const std::string& body, bool complete = true)
    -> FetchReply {
  auto reply = FetchReply();
  reply.connected = true;
  reply.status = status;
  reply.complete = complete;
  reply.body = body;
  return reply;
}

auto At(int ms) -> SoakChecker::Time {
  return SoakChecker::Time(std::chrono::milliseconds(ms));
}

struct Fixture {
  auto CountViolations() -> std::size_t {
    checker.Finish();
    return checker.violations().size();
  }

  std::map<std::string, int> runs;
  SoakChecker checker{[this](const std::string& id) { return runs[id]; }};
};

TEST_CASE("SoakChecker.FindsARefusedRequestThatRan") {
  auto fixture = Fixture();
  fixture.runs["b"] = 1;
  fixture.checker.OnReply("a", {1, false, "x"}, Reply(503, ""));
  fixture.checker.OnReply("c", {1, false, "x"}, Reply(502, ""));
  fixture.runs["c"] = 1;
  CHECK(fixture.CountViolations() == 0);
  fixture.checker.OnReply("b", {1, false, "x"}, Reply(503, ""));
  CHECK(fixture.CountViolations() == 1);
}

TEST_CASE("SoakChecker.FindsARepeatedRequestWhoseRefusedAttemptRan") {
  auto fixture = Fixture();
  fixture.checker.OnReply("a", {1, false, "x"}, Reply(503, ""));
  fixture.checker.OnRepeat("a");
  fixture.runs["a"] = 1;
  fixture.checker.OnReply("a", {1, false, "x"}, Reply(200, "x"));
  CHECK(fixture.CountViolations() == 0);
  fixture.runs["b"] = 1;
  fixture.checker.OnReply("b", {1, false, "x"}, Reply(503, ""));
  fixture.checker.OnRepeat("b");
  fixture.checker.OnReply("b", {1, false, "x"}, Reply(200, "x"));
  CHECK(fixture.CountViolations() == 1);
}

TEST_CASE("SoakChecker.FindsARequestThatRanTooOften") {
  auto fixture = Fixture();
  fixture.runs["a"] = 2;
  fixture.checker.OnReply("a", {2, false, "x"}, Reply(200, "x"));
  CHECK(fixture.CountViolations() == 0);
  fixture.checker.OnReply("a", {1, false, "x"}, Reply(200, "x"));
  CHECK(fixture.CountViolations() == 1);
}

TEST_CASE("SoakChecker.FindsAWrongAnswerAndARouteThatIsDenied") {
  auto fixture = Fixture();
  fixture.checker.OnReply("a", {1, false, "x"}, Reply(200, "y"));
  fixture.checker.OnReply("b", {1, false, "x"}, Reply(404, ""));
  CHECK(fixture.CountViolations() == 2);
}

TEST_CASE("SoakChecker.FindsAStreamWithALostEvent") {
  auto fixture = Fixture();
  const auto whole = ExpectedEvents("a", 0);
  const auto expected = RequestExpectation{2, true, whole};
  const auto half = whole.substr(0, whole.size() / 2);
  fixture.checker.OnReply("a", expected, Reply(200, half, false));
  CHECK(fixture.CountViolations() == 0);
  fixture.checker.OnReply("a", expected, Reply(200, half, true));
  fixture.checker.OnReply("a", expected,
                          Reply(200, ExpectedEvents("a", 1), false));
  CHECK(fixture.CountViolations() == 2);
}

TEST_CASE("SoakChecker.FindsMoreTokensThanMayWait") {
  auto runs = std::map<std::string, int>();
  auto checker = SoakChecker([&](const std::string& id) { return runs[id]; },
                             2 * kItemTokens);
  checker.OnSubmitted("j1", {"a", "b"}, Reply(202, ""));
  checker.OnSubmitted("j2", {"c"}, Reply(429, ""));
  runs["a"] = 1;
  checker.OnSubmitted("j3", {"d"}, Reply(202, ""));
  checker.OnEndRequested("j3");
  checker.OnSubmitted("j4", {"e"}, Reply(202, ""));
  CHECK(checker.violations().empty());
  checker.OnSubmitted("j5", {"f"}, Reply(202, ""));
  CHECK(checker.violations().size() == 1);
}

TEST_CASE("SoakChecker.FindsResultsThatAreLostDoubledChangedOrWrong") {
  auto fixture = Fixture();
  auto& checker = fixture.checker;
  checker.OnSubmitted("j", {"a", "b"}, Reply(202, ""));
  checker.OnListed("j", 0, "a", "completed", ExpectedText("a"));
  CHECK(checker.unfinished_jobs().size() == 1);
  CHECK(fixture.CountViolations() == 1);
  checker.OnListed("j", 1, "b", "completed", ExpectedText("b"));
  CHECK(fixture.CountViolations() == 1);
  checker.OnListed("j", 0, "a", "errored", "");
  checker.OnListed("j", 2, "b", "completed", ExpectedText("b"));
  checker.OnListed("j", 3, "other", "completed", ExpectedText("other"));
  CHECK(checker.violations().size() == 4);
  checker.OnSubmitted("k", {"c"}, Reply(202, ""));
  checker.OnListed("k", 0, "c", "completed", "short");
  CHECK(checker.violations().size() == 5);
}

TEST_CASE("SoakChecker.FindsAnItemOfARefusedJobThatRan") {
  auto fixture = Fixture();
  fixture.runs["a"] = 1;
  fixture.checker.OnSubmitted("j", {"a"}, Reply(503, ""));
  CHECK(fixture.CountViolations() == 1);
}

TEST_CASE("SoakChecker.FindsANodeThatGoesBackToAnOlderConfiguration") {
  auto fixture = Fixture();
  fixture.checker.OnVersionServed("n", 1, 5, At(0));
  fixture.checker.OnVersionServed("n", 2, 4, At(0));
  fixture.checker.OnVersionServed("m", 1, 4, At(0));
  CHECK(fixture.CountViolations() == 0);
  fixture.checker.OnVersionServed("n", 1, 4, At(0));
  CHECK(fixture.CountViolations() == 1);
}

TEST_CASE("SoakChecker.FindsANodeInTouchThatServesByAnOldConfiguration") {
  auto fixture = Fixture();
  auto& checker = fixture.checker;
  checker.OnVersionStored(4, At(10'000));
  checker.OnVersionStored(6, At(20'000));
  CHECK(checker.NewestReplaced(At(27'000)) == 0);
  CHECK(checker.NewestReplaced(At(27'001)) == 4);
  checker.OnVersionServed("n", 1, 6, At(60'000));
  checker.OnVersionServed("n", 2, 4, At(27'000));
  checker.OnDisrupted("cut off");
  checker.OnDisrupted(SoakChecker::StoreOf("refused"));
  checker.OnDisruptionEnded(SoakChecker::StoreOf("refused"), At(21'000));
  checker.OnVersionServed("cut off", 1, 4, At(28'000));
  checker.OnVersionServed("refused", 1, 4, At(28'000));
  CHECK(fixture.CountViolations() == 0);
  checker.OnVersionServed("m", 1, 4, At(28'000));
  CHECK(checker.violations().size() == 1);
  checker.OnDisrupted(SoakChecker::kStore);
  checker.OnVersionServed("o", 1, 4, At(28'000));
  CHECK(checker.violations().size() == 1);
}

TEST_CASE("SoakChecker.FindsStreamsThatDoNotGoOnWhileNewOnesBegin") {
  auto fixture = Fixture();
  auto& checker = fixture.checker;
  const auto add = [&](int ms, bool taken_up, int count, int going_on) {
    for (auto stream = 0; stream < count; ++stream) {
      checker.OnStream("n", taken_up, stream < going_on, At(ms));
    }
  };
  add(0, false, 10, 10);
  add(0, true, 11, 0);
  add(10'000, false, 10, 10);
  add(10'000, true, 12, 6);
  add(20'000, false, 10, 0);
  add(20'000, true, 12, 0);
  checker.OnDisrupted("n");
  add(0, true, 12, 0);
  CHECK(fixture.CountViolations() == 0);
  checker.OnDisruptionEnded("n", At(0));
  add(30'000, false, 10, 10);
  add(30'000, true, 12, 5);
  CHECK(fixture.CountViolations() == 1);
}

TEST_CASE("SoakChecker.FindsAPlannedStopThatFailsOrHangs") {
  auto fixture = Fixture();
  fixture.checker.OnGracefulStop("n", 0);
  CHECK(fixture.CountViolations() == 0);
  fixture.checker.OnGracefulStop("n", 139);
  fixture.checker.OnGracefulStop("n", std::nullopt);
  CHECK(fixture.CountViolations() == 2);
}

// Guards against items that start after the time within which an acknowledged
// end of their job must take effect.
TEST_CASE("SoakChecker.FindsAnItemThatStartsTooLongAfterTheEndOfItsJob") {
  auto fixture = Fixture();
  auto& checker = fixture.checker;
  checker.OnItemStarted("j", "a", "n", "i", At(0));
  checker.OnEndRequested("j");
  checker.OnEndAnswered("j", Reply(503, ""), At(0));
  checker.OnItemStarted("j", "b", "n", "i", At(4'000));
  checker.OnEndAnswered("j", Reply(200, ""), At(10'000));
  checker.OnEndAnswered("j", Reply(200, ""), At(12'000));
  checker.OnItemStarted("j", "c", "n", "i", At(13'000));
  CHECK(fixture.CountViolations() == 0);
  checker.OnItemStarted("j", "d", "n", "i", At(13'500));
  CHECK(fixture.CountViolations() == 1);
}

// Guards against a violation that is reported although an owner could not know
// of the end, and against owners that are never checked after a disruption.
TEST_CASE("SoakChecker.AllowsLateItemsOfAnyOwnerThatIsNotInTouch") {
  auto fixture = Fixture();
  auto& checker = fixture.checker;
  checker.OnItemStarted("j", "a", "former", "i", At(0));
  checker.OnItemStarted("j", "b", "n", "i", At(0));
  checker.OnEndAnswered("j", Reply(200, ""), At(0));
  checker.OnDisrupted("former");
  checker.OnItemStarted("j", "c", "n", "i", At(3'500));
  checker.OnDisrupted("former");
  checker.OnDisruptionEnded("former", At(4'000));
  checker.OnItemStarted("j", "d", "n", "i", At(7'500));
  checker.OnDisruptionEnded("former", At(8'000));
  checker.OnItemStarted("j", "e", "n", "i", At(11'000));
  checker.OnDisrupted("i");
  checker.OnItemStarted("j", "f", "n", "i", At(11'500));
  CHECK(fixture.CountViolations() == 0);
  checker.OnItemStarted("j", "g", "n", "other", At(11'500));
  CHECK(fixture.CountViolations() == 1);
}

// A caller that has asked for the end of a job may get all of its results, or
// only those before the end.
TEST_CASE("SoakChecker.AllowsMissingResultsOfAnEndedJobOnly") {
  auto fixture = Fixture();
  auto& checker = fixture.checker;
  checker.OnSubmitted("j", {"a", "b"}, Reply(202, ""));
  checker.OnListed("j", 0, "a", "completed", ExpectedText("a"));
  checker.OnEndRequested("j");
  CHECK(checker.unfinished_jobs().empty());
  CHECK(fixture.CountViolations() == 0);
  checker.OnListed("j", 0, "b", "completed", ExpectedText("b"));
  CHECK(fixture.CountViolations() == 1);
}

TEST_CASE("SoakChecker.FindsARequestAtAReplicaThatSaidThatItLeaves") {
  auto fixture = Fixture();
  auto& checker = fixture.checker;
  auto leaving = Reply(200, "x");
  leaving.headers = {{"server-leaving", "1"},
                     {"response-signature", "signed.r1"}};
  checker.OnPassedOn("n1", 1, leaving, At(1'000));
  checker.OnPassedOn("n2", 1, Reply(200, "x"), At(1'000));
  checker.OnSent("in time", "n1", 1, At(2'900));
  checker.OnSent("elsewhere", "n1", 1, At(3'100));
  checker.OnSent("another node", "n2", 1, At(3'100));
  checker.OnSent("restarted", "n1", 2, At(3'100));
  checker.OnStarted("in time", "r1", At(9'000));
  checker.OnStarted("elsewhere", "r2", At(3'200));
  checker.OnStarted("another node", "r1", At(3'200));
  checker.OnStarted("restarted", "r1", At(3'200));
  CHECK(fixture.CountViolations() == 0);
  checker.OnSent("late", "n1", 1, At(3'100));
  checker.OnStarted("late", "r1", At(3'200));
  CHECK(fixture.CountViolations() == 1);
  checker.OnPaused("n1");
  checker.OnStarted("late", "r1", At(3'300));
  CHECK(fixture.CountViolations() == 1);
}

}  // namespace
}  // namespace kumquatgauge::testing
