#include "kumquatgauge/store/rate_limiter.h"

#include <catch2/catch.hpp>

namespace kumquatgauge::store {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto kLimits =
    RateLimits{.fleet_reads = 2000, .fleet_writes = 600, .fleet_size = 300};

struct Fixture {
  auto Enqueue(CallClass call_class, Duration timeout = seconds(60))
      -> RateLimiter::Ticket {
    return limiter.Enqueue(CallKind::kWrite, call_class, now + timeout);
  }
  // Uses up the burst.
  auto UseBurst() -> void {
    for (auto i = 0; i < kMinBurst; ++i) {
      Enqueue(CallClass::kStatus);
    }
    limiter.Tick(now);
  }
  // Number of calls admitted within `duration` while some are always waiting.
  auto AdmittedIn(Duration duration) -> std::size_t {
    auto admitted = std::size_t{0};
    for (const auto end = now + duration; now < end; now += milliseconds(100)) {
      while (limiter.waiting() < 10) {
        Enqueue(CallClass::kResult);
      }
      admitted += limiter.Tick(now).admitted.size();
    }
    return admitted;
  }

  RateLimiter limiter{kLimits};
  MonotonicTime now{seconds(100)};
};

// Guards against lease renewals that wait behind results.
TEST_CASE_METHOD(Fixture, "RateLimiter.AdmitsTheMoreUrgentClassFirst") {
  UseBurst();
  const auto status = Enqueue(CallClass::kStatus);
  const auto result = Enqueue(CallClass::kResult);
  const auto lease = Enqueue(CallClass::kLease);
  auto admitted = std::vector<RateLimiter::Ticket>();
  for (auto i = 0; i < 30; ++i) {
    now += milliseconds(100);
    for (const auto ticket : limiter.Tick(now).admitted) {
      admitted.push_back(ticket);
    }
  }
  CHECK(admitted == std::vector{lease, result, status});
}

// Guards against a node that takes more than its share of a busy platform.
TEST_CASE_METHOD(Fixture, "RateLimiter.KeepsToItsShareWhenThePlatformIsBusy") {
  UseBurst();
  auto admitted = std::size_t{0};
  for (auto i = 0; i < 20; ++i) {
    admitted += AdmittedIn(seconds(1));
    limiter.OnRateExceeded(CallKind::kWrite, now);
  }
  const auto share = 600.0 / 300;
  CHECK(admitted <= 20 * share * 2);
  CHECK(limiter.rate(CallKind::kWrite) == Approx(share));
}

// Guards against slowing down a busy node while the fleet's rate is unused.
TEST_CASE_METHOD(Fixture, "RateLimiter.BorrowsWhileTheRateIsNotExceeded") {
  UseBurst();
  AdmittedIn(seconds(40));
  CHECK(limiter.rate(CallKind::kWrite) == Approx(60));
  CHECK(AdmittedIn(seconds(10)) == Approx(600).margin(70));
}

// Guards against calls that wait forever.
TEST_CASE_METHOD(Fixture, "RateLimiter.ExpiresACallAtItsDeadline") {
  UseBurst();
  const auto ticket = Enqueue(CallClass::kLease, milliseconds(100));
  const auto first = limiter.Tick(now);
  CHECK(first.admitted.empty());
  CHECK(first.next == now + milliseconds(100));
  const auto second = limiter.Tick(now + milliseconds(100));
  CHECK(second.expired == std::vector{ticket});
  CHECK(limiter.waiting() == 0);
}

// Guards against reads that are starved by writes.
TEST_CASE_METHOD(Fixture, "RateLimiter.CountsReadsAndWritesApart") {
  UseBurst();
  limiter.Enqueue(CallKind::kRead, CallClass::kStatus, now + seconds(1));
  CHECK(limiter.Tick(now).admitted.size() == 1);
}

// Guards against a burst of the whole fleet when an outage ends.
TEST_CASE_METHOD(Fixture, "RateLimiter.HasNoBurstAfterDrain") {
  limiter.DrainBurst(now);
  Enqueue(CallClass::kResult);
  Enqueue(CallClass::kResult);
  CHECK(limiter.Tick(now).admitted.size() == 1);
}

// Guards against shares that stay large while the fleet grows.
TEST_CASE_METHOD(Fixture, "RateLimiter.FollowsTheSizeOfTheFleet") {
  limiter.SetFleetSize(1000);
  CHECK(limiter.rate(CallKind::kRead) == Approx(2000.0 / 300));
  limiter.OnRateExceeded(CallKind::kRead, now);
  limiter.OnRateExceeded(CallKind::kRead, now);
  limiter.OnRateExceeded(CallKind::kRead, now);
  CHECK(limiter.rate(CallKind::kRead) == Approx(2.0));
  limiter.SetFleetSize(10);
  CHECK(limiter.rate(CallKind::kRead) == Approx(200));
}

}  // namespace
}  // namespace kumquatgauge::store
