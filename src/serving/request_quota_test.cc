#include "kumquatgauge/serving/request_quota.h"

#include <catch2/catch.hpp>
#include <optional>
#include <vector>

#include "testing/support/manual_clock.h"

namespace kumquatgauge::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::ManualClock;

const auto kName = OrganisationName("acme");
constexpr std::uint64_t kFirst = 100;

struct Node {
  Node() { quota.SetLimits({{kName, {.rate = 64, .burst = 64}}}); }

  // Returns the index of the decision.
  auto Reserve() -> std::size_t {
    const auto at = decisions.size();
    decisions.emplace_back();
    quota.Reserve(kName, [this, at](const RequestQuotaDecision& decision) {
      REQUIRE_FALSE(decisions[at]);
      decisions[at] = decision;
    });
    return at;
  }
  auto Grant(std::uint32_t tokens,
             Duration pause = Duration::zero(),
             Duration retry_after = Duration::zero()) -> void {
    quota.OnGrant({.organisation = kName,
                   .sequence = asks.back().sequence,
                   .tokens = tokens,
                   .pause = pause,
                   .retry_after = retry_after});
  }
  auto Advance(Duration time) -> void {
    clock.Advance(time);
    quota.OnTick();
  }
  auto Decision(std::size_t at) const -> RequestQuotaDecision {
    const auto& decision = decisions.at(at);
    REQUIRE(decision);
    return decision.value_or(RequestQuotaDecision());
  }
  auto reason(std::size_t at) const -> RequestQuotaReason {
    return Decision(at).reason;
  }

  ManualClock clock;
  bool connected = true;
  std::size_t known = 64;
  std::uint64_t draw = 0;  // 0 is granted by any positive probability.
  std::vector<RequestAsk> asks;
  std::vector<std::optional<RequestQuotaDecision>> decisions;
  RequestQuota quota{
      RequestQuotaSettings(), kFirst,
      RequestQuotaHooks{
          .send = [this](const auto& ask) { asks.push_back(ask); },
          .connected = [this] { return connected; },
          .known_nodes = [this] { return known; },
          .random = [this] { return draw; },
          .clock = clock.AsHook()}};
};

// Guards against an ask per request when many arrive at once.
TEST_CASE("RequestQuota.SharesOneAskAmongWaitingRequests") {
  auto node = Node();
  for (auto count = 0; count < 4; ++count) {
    node.Reserve();
  }
  REQUIRE(node.asks.size() == 1);
  CHECK(node.asks[0].needed == 1);
  node.Grant(1);
  CHECK(node.reason(0) == RequestQuotaReason::kGranted);
  REQUIRE(node.asks.size() == 2);
  CHECK(node.asks[1].needed == 3);
  CHECK(node.asks[1].ahead == 1);
  CHECK(node.asks[1].sequence > node.asks[0].sequence);
  node.Grant(4);
  CHECK(node.reason(3) == RequestQuotaReason::kGranted);
  node.Reserve();  // By the token that was granted ahead.
  CHECK(node.asks.size() == 2);
  CHECK(node.Decision(4).granted);
}

// Guards against tokens of a duplicated reply, and of one to an ask that was
// given up.
TEST_CASE("RequestQuota.IgnoresRepeatedAndLateGrants") {
  auto node = Node();
  node.Reserve();
  node.Grant(1);
  node.Grant(1);
  node.Reserve();
  CHECK(node.asks.size() == 2);
  node.Advance(milliseconds(41));
  node.Grant(1);
  node.Reserve();
  CHECK(node.reason(2) != RequestQuotaReason::kGranted);
}

// Guards against a refusal because one datagram was lost.
TEST_CASE("RequestQuota.RepeatsAnAskThatIsNotAnswered") {
  auto node = Node();
  node.Reserve();
  node.Advance(milliseconds(16));
  REQUIRE(node.asks.size() == 2);
  CHECK(node.asks[0] == node.asks[1]);
  node.Advance(milliseconds(16));
  CHECK(node.asks.size() == 2);
  node.Grant(1);
  CHECK(node.reason(0) == RequestQuotaReason::kGranted);
}

// Guards against a refusal, and a lost token, because this node got no CPU time
// while the reply waited in its socket.
TEST_CASE("RequestQuota.ReadsTheReplyAfterItWasDelayedItself") {
  auto node = Node();
  node.Reserve();
  node.Advance(milliseconds(90));
  CHECK_FALSE(node.decisions[0]);
  node.Grant(1);
  CHECK(node.reason(0) == RequestQuotaReason::kGranted);
  node.Reserve();
  node.Advance(milliseconds(90));
  CHECK_FALSE(node.decisions[1]);
  node.Advance(milliseconds(90));  // Only once.
  CHECK(node.decisions[1]);
}

// Guards against all gateways together exceeding the rate without a keeper, and
// against requests that wait for each time-out.
TEST_CASE("RequestQuota.DecidesLocallyWithoutAReply") {
  auto node = Node();
  node.Advance(milliseconds(1'100));
  node.draw = 300'000;  // Granted by a probability above 0.3.
  node.Reserve();
  node.Reserve();
  node.Advance(milliseconds(40));
  // The share of 1 request per second in 1.14 s, then in the rest, 0.14 s.
  CHECK(node.reason(0) == RequestQuotaReason::kGrantedLocally);
  CHECK(node.reason(1) == RequestQuotaReason::kRefusedLocally);
  CHECK(node.Decision(1).retry_after > Duration::zero());
  const auto asked = node.asks.size();
  node.Advance(milliseconds(50));
  node.Reserve();
  CHECK(node.reason(2) == RequestQuotaReason::kRefusedLocally);
  CHECK(node.asks.size() == asked);
  node.Advance(milliseconds(60));
  node.Reserve();
  CHECK(node.asks.size() == asked + 1);
}

// Guards against a share of the whole rate for a gateway that knows no other
// one, or few since it has just started.
TEST_CASE("RequestQuota.AssumesAFleetUntilItKnowsTheOthers") {
  auto node = Node();
  node.known = 2;
  node.connected = false;
  node.draw = 500'000;
  node.Advance(milliseconds(400));
  node.Reserve();  // 0.4 s of 1 request per second.
  CHECK(node.reason(0) == RequestQuotaReason::kRefusedLocally);
  node.Advance(milliseconds(700));
  node.Reserve();  // 0.7 s of 32 requests per second.
  CHECK(node.reason(1) == RequestQuotaReason::kGrantedLocally);
  node.known = 1;
  node.Advance(milliseconds(400));
  node.Reserve();
  CHECK(node.reason(2) == RequestQuotaReason::kRefusedLocally);
  CHECK(node.asks.empty());
}

// Guards against nodes that refuse nearly all requests of small organisations
// while they start, and against one that goes on to accept every request.
TEST_CASE("RequestQuota.AcceptsFewRequestsOfEachOrganisationAtTheStart") {
  constexpr std::uint64_t kRefusedByAnyShare = 999'999;
  auto node = Node();
  node.connected = false;
  node.draw = kRefusedByAnyShare;
  node.quota.SetLimits({{kName, {.rate = 1, .burst = 1}}});
  node.Advance(milliseconds(500));
  CHECK(node.Decision(node.Reserve()).granted);
  // At 64 requests a second, 8 requests beyond them are accepted within 50 ms.
  node.quota.SetLimits({{kName, {.rate = 64, .burst = 64}}});
  CHECK_FALSE(node.Decision(node.Reserve()).granted);
  node.quota.SetLimits({{kName, {.rate = 1, .burst = 1}}});
  node.quota.OnSettled();
  CHECK_FALSE(node.Decision(node.Reserve()).granted);
}

// Guards against an ask per request of an organisation far above its limit, and
// against the same Retry-After for all.
TEST_CASE("RequestQuota.RejectsDuringThePauseInOrder") {
  auto node = Node();
  node.Reserve();
  node.Grant(0, milliseconds(100), seconds(2));
  node.Reserve();
  node.Reserve();
  CHECK(node.asks.size() == 1);
  CHECK(node.Decision(0).retry_after == seconds(2));
  CHECK(node.Decision(1).retry_after > node.Decision(0).retry_after);
  CHECK(node.Decision(2).retry_after > node.Decision(1).retry_after);
  CHECK(node.reason(2) == RequestQuotaReason::kRefused);
  node.Advance(milliseconds(100));
  node.Reserve();
  REQUIRE(node.asks.size() == 2);
  CHECK(node.asks[1].rejected == 3);
}

// Guards against many asks by a node with many requests, since the keeper has a
// token again soon.
TEST_CASE("RequestQuota.PausesLongerAfterRepeatedRefusals") {
  auto node = Node();
  for (auto count = 0; count < 1'000; ++count) {
    node.Reserve();
    if (!node.decisions.back()) {
      node.Grant(0, milliseconds(5), milliseconds(5));
    }
    node.clock.Advance(milliseconds(1));
  }
  CHECK(node.asks.size() <= 12);
  CHECK(node.asks.size() >= 10);
}

// Guards against tokens that stay at a gateway without requests while others
// are refused, and against a refunded token that is lost.
TEST_CASE("RequestQuota.ReturnsTokensThatAreNotUsed") {
  auto node = Node();
  node.Reserve();
  node.Grant(3);
  node.quota.Refund(kName);
  CHECK(node.quota.next_event() == node.clock.now() + milliseconds(300));
  node.Advance(milliseconds(300));
  REQUIRE(node.asks.size() == 2);
  CHECK(node.asks[1].returned == 3);
  CHECK(node.asks[1].needed == 0);
  CHECK(node.asks[1].ahead == 0);
  node.Reserve();
  CHECK(node.asks.size() == 3);
  CHECK_FALSE(node.decisions[1]);
}

// Guards against a refunded token that a waiting request could have used.
TEST_CASE("RequestQuota.UsesARefundForAWaitingRequest") {
  auto node = Node();
  node.Reserve();
  node.quota.Refund(kName);
  CHECK(node.reason(0) == RequestQuotaReason::kGranted);
}

// Guards against requests without an answer when a limit is removed, and
// against limits of organisations that have none.
TEST_CASE("RequestQuota.GrantsWithoutALimit") {
  auto node = Node();
  node.Reserve();
  node.quota.SetLimits({});
  CHECK(node.reason(0) == RequestQuotaReason::kNoLimit);
  node.Reserve();
  CHECK(node.reason(1) == RequestQuotaReason::kNoLimit);
}

}  // namespace
}  // namespace kumquatgauge::serving
