#include "kumquatgauge/serving/attempt_policy.h"

#include <catch2/catch.hpp>

namespace kumquatgauge::serving {
namespace {

using upstream::CallEnd;

auto History(RequestKind kind, bool resumable = false) -> AttemptHistory {
  auto history = AttemptHistory();
  history.kind = kind;
  history.resumable = resumable;
  history.max_attempts = 2;
  history.may_have_run = 1;
  history.attempts = 1;
  history.time_left = std::chrono::seconds(2);
  return history;
}

auto Broken() -> AttemptEnd {
  return {CallEnd::kBroken, 0, false, true};
}

auto Answered(int status, bool not_run = false) -> AttemptEnd {
  return {CallEnd::kComplete, status, not_run, true};
}

// Guards against confirming a charge twice.
TEST_CASE("AttemptPolicy.NeverRepeatsWhatMayHaveRunAtMostOnce") {
  const auto history = History(RequestKind::kAtMostOnce);
  for (const auto end : {CallEnd::kBroken, CallEnd::kSilent,
                         CallEnd::kMalformed, CallEnd::kDeadline}) {
    const auto step = DecideNextStep(history, {end, 0, false, true}).step;
    CHECK(step != NextStep::kRetry);
    CHECK(step != NextStep::kRefuse);
  }
}

// Guards against reporting "not run" for a request that may have been sent.
TEST_CASE("AttemptPolicy.AnswersUnknownAfterALostAnswer") {
  const auto history = History(RequestKind::kAtMostOnce);
  CHECK(DecideNextStep(history, Broken()).step == NextStep::kUnknown);
}

TEST_CASE("AttemptPolicy.RepeatsIdempotentRequestsWithinTheirAttempts") {
  auto history = History(RequestKind::kIdempotent);
  CHECK(DecideNextStep(history, Broken()).step == NextStep::kRetry);
  history.may_have_run = 2;
  CHECK(DecideNextStep(history, Broken()).step == NextStep::kUnknown);
}

// Guards against retries that amplify an overload.
TEST_CASE("AttemptPolicy.DoesNotRepeatWithoutBudget") {
  auto history = History(RequestKind::kIdempotent);
  history.retry_allowed = false;
  CHECK(DecideNextStep(history, Broken()).step == NextStep::kUnknown);
}

TEST_CASE("AttemptPolicy.TriesElsewhereWhenTheReplicaDidNotRunIt") {
  auto history = History(RequestKind::kAtMostOnce);
  history.may_have_run = 0;
  CHECK(DecideNextStep(history, Answered(503, true)).step == NextStep::kRetry);
  const auto unsent = AttemptEnd{CallEnd::kNotSent, 0, false, false};
  CHECK(DecideNextStep(history, unsent).step == NextStep::kRetry);
  history.attempts = kMaxAttemptsNotRun;
  CHECK(DecideNextStep(history, Answered(503, true)).step == NextStep::kRefuse);
}

// Guards against reporting "not run" when an earlier attempt may have run.
TEST_CASE("AttemptPolicy.DoesNotSayNotRunAfterAnEarlierLostAttempt") {
  auto history = History(RequestKind::kIdempotent);
  history.attempts = kMaxAttemptsNotRun;
  CHECK(DecideNextStep(history, Answered(503, true)).step ==
        NextStep::kUnknown);
}

// A 503 or 429 does not guarantee that nothing ran unless the replica says so.
TEST_CASE("AttemptPolicy.DoesNotForwardARefusalWithoutNotRun") {
  const auto history = History(RequestKind::kAtMostOnce);
  CHECK(DecideNextStep(history, Answered(503)).step == NextStep::kUnknown);
  CHECK(DecideNextStep(history, Answered(429)).step == NextStep::kUnknown);
}

TEST_CASE("AttemptPolicy.DeliversAFailureOfAReplicaThatRanIt") {
  const auto history = History(RequestKind::kAtMostOnce);
  CHECK(DecideNextStep(history, Answered(500)).step == NextStep::kDeliver);
}

// Guards against a truncated stream that looks complete.
TEST_CASE("AttemptPolicy.AbortsAStartedStreamThatCannotResume") {
  auto history = History(RequestKind::kStream);
  history.answer_begun = true;
  CHECK(DecideNextStep(history, Broken()).step == NextStep::kAbort);
}

// Guards against an error, or the end of another answer, in the middle of a
// stream that broke off at another replica.
TEST_CASE("AttemptPolicy.DeliversOnlyEventsOnceAStreamHasBegun") {
  for (const auto resumable : {false, true}) {
    for (const auto status :
         {200, 204, 302, 400, 404, 408, 409, 422, 429, 500, 503, 504}) {
      auto history = History(RequestKind::kStream, resumable);
      history.answer_begun = true;
      CHECK(DecideNextStep(history, Answered(status)).step ==
            (resumable ? NextStep::kRetry : NextStep::kAbort));
      history.may_have_run = history.max_attempts;
      CHECK(DecideNextStep(history, Answered(status)).step == NextStep::kAbort);
      history.attempts = kMaxAttemptsNotRun;
      CHECK(DecideNextStep(history, Answered(status, true)).step ==
            NextStep::kAbort);
    }
    auto history = History(RequestKind::kStream, resumable);
    history.answer_begun = true;
    auto events = Answered(200);
    events.stream = true;
    CHECK(DecideNextStep(history, events).step == NextStep::kDeliver);
  }
}

TEST_CASE("AttemptPolicy.ResumesAStreamEvenWithoutRetryBudget") {
  auto history = History(RequestKind::kStream, true);
  history.answer_begun = true;
  history.retry_allowed = false;
  CHECK(DecideNextStep(history, Broken()).step == NextStep::kRetry);
}

TEST_CASE("AttemptPolicy.StopsWhenTheCallerHasLeft") {
  const auto history = History(RequestKind::kIdempotent);
  const auto cancelled = AttemptEnd{CallEnd::kCancelled, 0, false, true};
  CHECK(DecideNextStep(history, cancelled).step == NextStep::kAbort);
}

TEST_CASE("AttemptPolicy.TimesOutAtTheDeadline") {
  auto history = History(RequestKind::kIdempotent);
  history.time_left = Duration::zero();
  const auto late = AttemptEnd{CallEnd::kDeadline, 0, false, true};
  CHECK(DecideNextStep(history, late).step == NextStep::kTimedOut);
}

// Guards against a request without an answer when its node stops, and against a
// second run of one that must not be repeated.
TEST_CASE("AttemptPolicy.AnswersWhatANodeEndsWhenItStops") {
  const auto ended = AttemptEnd{CallEnd::kCancelled, 0, false, true};
  const auto not_sent = AttemptEnd{CallEnd::kCancelled, 0, false, false};
  for (const auto kind : {RequestKind::kAtMostOnce, RequestKind::kIdempotent,
                          RequestKind::kStream}) {
    auto history = History(kind);
    history.stopping = true;
    history.may_have_run = 0;
    CHECK(DecideNextStep(history, not_sent).step == NextStep::kRefuse);
    history.may_have_run = 1;
    CHECK(DecideNextStep(history, ended).step == NextStep::kTimedOut);
    CHECK(DecideNextStep(history, not_sent).step == NextStep::kUnknown);
    history.answer_begun = true;
    CHECK(DecideNextStep(history, ended).step == NextStep::kAbort);
  }
}

}  // namespace
}  // namespace kumquatgauge::serving
