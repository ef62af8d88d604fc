// Each test plants one broken promise, which the checker must find, beside the
// nearest case that is allowed.

#include "testing/soak/checker.h"

#include <catch2/catch.hpp>

#include "testing/gateway/stand_in.h"

namespace kumquatgauge::testing {
namespace {

auto Reply(int status, const std::string& body, bool whole = true)
    -> FetchReply {
  auto reply = FetchReply();
  reply.connected = true;
  reply.status = status;
  reply.whole = whole;
  reply.body = body;
  return reply;
}

struct Fixture {
  auto Found() -> std::size_t {
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
  CHECK(fixture.Found() == 0);
  fixture.checker.OnReply("b", {1, false, "x"}, Reply(503, ""));
  CHECK(fixture.Found() == 1);
}

TEST_CASE("SoakChecker.FindsARequestThatRanTooOften") {
  auto fixture = Fixture();
  fixture.runs["a"] = 2;
  fixture.checker.OnReply("a", {2, false, "x"}, Reply(200, "x"));
  CHECK(fixture.Found() == 0);
  fixture.checker.OnReply("a", {1, false, "x"}, Reply(200, "x"));
  CHECK(fixture.Found() == 1);
}

TEST_CASE("SoakChecker.FindsAWrongAnswerAndARouteThatIsDenied") {
  auto fixture = Fixture();
  fixture.checker.OnReply("a", {1, false, "x"}, Reply(200, "y"));
  fixture.checker.OnReply("b", {1, false, "x"}, Reply(404, ""));
  CHECK(fixture.Found() == 2);
}

TEST_CASE("SoakChecker.FindsAStreamWithALostEvent") {
  auto fixture = Fixture();
  const auto whole = ExpectedEvents("a", 0);
  const auto promise = RequestPromise{2, true, whole};
  const auto half = whole.substr(0, whole.size() / 2);
  fixture.checker.OnReply("a", promise, Reply(200, half, false));
  CHECK(fixture.Found() == 0);
  fixture.checker.OnReply("a", promise, Reply(200, half, true));
  fixture.checker.OnReply("a", promise,
                          Reply(200, ExpectedEvents("a", 1), false));
  CHECK(fixture.Found() == 2);
}

TEST_CASE("SoakChecker.FindsResultsThatAreLostDoubledChangedOrWrong") {
  auto fixture = Fixture();
  auto& checker = fixture.checker;
  checker.OnSubmitted("j", {"a", "b"}, Reply(202, ""));
  checker.OnListed("j", 0, "a", "completed", ExpectedText("a"));
  CHECK(checker.unfinished_jobs().size() == 1);
  CHECK(fixture.Found() == 1);
  checker.OnListed("j", 1, "b", "completed", ExpectedText("b"));
  CHECK(fixture.Found() == 1);
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
  CHECK(fixture.Found() == 1);
}

TEST_CASE("SoakChecker.FindsANodeThatGoesBackToAnOlderConfiguration") {
  auto fixture = Fixture();
  fixture.checker.OnServedBy("n", 1, 5);
  fixture.checker.OnServedBy("n", 2, 4);
  fixture.checker.OnServedBy("m", 1, 4);
  CHECK(fixture.Found() == 0);
  fixture.checker.OnServedBy("n", 1, 4);
  CHECK(fixture.Found() == 1);
}

TEST_CASE("SoakChecker.FindsAPlannedStopThatFailsOrHangs") {
  auto fixture = Fixture();
  fixture.checker.OnPlannedStop("n", 0);
  CHECK(fixture.Found() == 0);
  fixture.checker.OnPlannedStop("n", 139);
  fixture.checker.OnPlannedStop("n", std::nullopt);
  CHECK(fixture.Found() == 2);
}

}  // namespace
}  // namespace kumquatgauge::testing
