#include "kumquatgauge/store/circuit.h"

#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <set>

namespace kumquatgauge::store {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto kNodes = 330;

struct Fixture {
  auto Fail(std::uint32_t times) -> void {
    for (std::uint32_t i = 0; i < times; ++i) {
      circuit.OnFailure(now);
    }
  }

  // Random value that gives the largest jitter when the backoff is max_backoff.
  auto MaxJitter() const -> std::uint64_t {
    return static_cast<std::uint64_t>(options.max_backoff.count());
  }

  CircuitOptions options;
  std::uint64_t draw = 0;
  Circuit circuit{options, [this] { return draw; }};
  MonotonicTime now{seconds(100)};
};

// Guards against refusing calls because of a single lost response.
TEST_CASE_METHOD(Fixture, "Circuit.StaysClosedUnderScatteredFailures") {
  for (auto i = 0; i < 100; ++i) {
    Fail(options.failures_to_open - 1);
    circuit.OnSuccess();
  }
  CHECK(circuit.AllowCall(now, true).allowed);
  CHECK_FALSE(circuit.TakeRecovered());
}

// Guards against calls that wait for timeouts while the platform is
// unavailable.
TEST_CASE_METHOD(Fixture, "Circuit.RefusesAtOnceWithRetryTimeWhenOpen") {
  Fail(options.failures_to_open);
  const auto decision = circuit.AllowCall(now, true);
  CHECK_FALSE(decision.allowed);
  CHECK(decision.retry_after == options.initial_backoff / 2);
}

// Guards against overloading a recovering platform with probes.
TEST_CASE_METHOD(Fixture, "Circuit.LetsOneProbeThrough") {
  Fail(options.failures_to_open);
  now += options.initial_backoff;
  CHECK_FALSE(circuit.AllowCall(now, false).allowed);
  CHECK(circuit.AllowCall(now, true).allowed);
  CHECK_FALSE(circuit.AllowCall(now, true).allowed);
  circuit.OnSuccess();
  CHECK(circuit.AllowCall(now, false).allowed);
  CHECK(circuit.TakeRecovered());
}

// Guards against a circuit that stays open because a probe got no response.
TEST_CASE_METHOD(Fixture, "Circuit.ProbesAgainWhenAProbeGotLost") {
  Fail(options.failures_to_open);
  now += options.initial_backoff;
  REQUIRE(circuit.AllowCall(now, true).allowed);
  now += options.probe_timeout;
  CHECK(circuit.AllowCall(now, true).allowed);
}

// Guards against backoffs above the bound, which would exceed lease terms.
TEST_CASE_METHOD(Fixture, "Circuit.WaitsLongerUpToABound") {
  draw = MaxJitter();
  Fail(options.failures_to_open);
  for (auto i = 0; i < 10; ++i) {
    const auto decision = circuit.AllowCall(now, true);
    CHECK(decision.retry_after <= options.max_backoff * 3 / 2);
    now += decision.retry_after;
    REQUIRE(circuit.AllowCall(now, true).allowed);
    circuit.OnFailure(now);
  }
  CHECK(circuit.AllowCall(now, true).retry_after > options.initial_backoff * 2);
}

// Guards against a node that acts on outdated state for seconds after an
// outage, because its last probe timed out just before the platform recovered.
TEST_CASE_METHOD(Fixture, "Circuit.LetsACallThroughSoonAfterALongOutage") {
  constexpr auto kSoon = seconds(3);
  constexpr auto kCallTimeout = seconds(1);
  draw = MaxJitter();
  Fail(options.failures_to_open);
  for (auto probe = 0; probe < 20; ++probe) {
    now += circuit.AllowCall(now, true).retry_after;
    REQUIRE(circuit.AllowCall(now, true).allowed);
    now += kCallTimeout;
    circuit.OnFailure(now);
    CHECK(kCallTimeout + circuit.AllowCall(now, true).retry_after <= kSoon);
  }
}

// Guards against all nodes of a fleet returning at the same moment.
TEST_CASE("Circuit.SpreadsTheReturnOfAFleet") {
  auto random = std::mt19937_64(5);
  const auto options = CircuitOptions();
  const auto now = MonotonicTime(seconds(100));
  auto per_bucket = std::map<std::int64_t, int>();
  for (auto node = 0; node < kNodes; ++node) {
    auto circuit = Circuit(options, [&] { return random(); });
    for (std::uint32_t i = 0; i < options.failures_to_open; ++i) {
      circuit.OnFailure(now);
    }
    ++per_bucket[circuit.AllowCall(now, true).retry_after / milliseconds(50)];
  }
  for (const auto& [bucket, nodes] : per_bucket) {
    CHECK(nodes < kNodes / 5);
  }
}

}  // namespace
}  // namespace kumquatgauge::store
