#include "kumquatgauge/serving/request_rate_account.h"

#include <catch2/catch.hpp>
#include <optional>

#include "testing/support/manual_clock.h"

namespace kumquatgauge::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::ManualClock;

const auto kName = OrganisationName("acme");
const auto kNode = NodeId("n1");
const auto kOther = NodeId("n2");
constexpr RequestLimit kLimit{.rate = 100, .burst = 100};

auto Ask(std::uint64_t sequence,
         std::uint32_t needed,
         std::uint32_t ahead = 0,
         std::uint32_t returned = 0,
         std::uint32_t rejected = 0) -> RequestAsk {
  return {kName, sequence, needed, ahead, returned, rejected};
}

// The answer to an ask that must be answered.
auto Granted(const std::optional<RequestGrant>& grant) -> RequestGrant {
  REQUIRE(grant);
  return grant.value_or(RequestGrant());
}

struct Account {
  ManualClock clock;
  RequestRateAccount account{RequestRateSettings(), kLimit, clock.AsHook()};
};

// Guards against a full burst by each new keeper.
TEST_CASE("RequestRateAccount.StartsBelowTheBurst") {
  auto [clock, account] = Account();
  CHECK(account.balance() == Approx(24));
}

// Guards against tokens that are debited or returned twice by a duplicated
// datagram, and by one that arrives late.
TEST_CASE("RequestRateAccount.CountsEachAskOnce") {
  auto test = Account();
  const auto first = Granted(test.account.OnAsk(kNode, Ask(5, 10)));
  CHECK(first.tokens == 10);
  CHECK(Granted(test.account.OnAsk(kNode, Ask(5, 10))) == first);
  CHECK(test.account.balance() == Approx(14));
  CHECK_FALSE(test.account.OnAsk(kNode, Ask(6, 0, 0, 5)));
  CHECK_FALSE(test.account.OnAsk(kNode, Ask(6, 0, 0, 5)));
  CHECK(test.account.balance() == Approx(19));
  CHECK_FALSE(test.account.OnAsk(kNode, Ask(4, 10)));
  CHECK(test.account.balance() == Approx(19));
  CHECK(test.account.OnAsk(kOther, Ask(4, 10)));
}

// Guards against a node that is not answered after its wall clock was set back.
TEST_CASE("RequestRateAccount.AcceptsANodeWhoseClockWasSetBack") {
  auto test = Account();
  CHECK(test.account.OnAsk(kNode, Ask(9'000'000, 1)));
  CHECK(test.account.OnAsk(kNode, Ask(5'000'000, 1)));
}

// Guards against one node that takes all that is left for requests that may
// not come.
TEST_CASE("RequestRateAccount.KeepsHalfOfTheRestForOthers") {
  auto test = Account();
  const auto grant = Granted(test.account.OnAsk(kNode, Ask(1, 4, 100)));
  CHECK(grant.tokens == 4 + 10);
}

// Guards against rejected requests that all come again at the same time.
TEST_CASE("RequestRateAccount.OrdersTheRetriesOfAllNodes") {
  auto test = Account();
  CHECK(Granted(test.account.OnAsk(kNode, Ask(1, 24))).tokens == 24);
  const auto first = Granted(test.account.OnAsk(kNode, Ask(2, 20)));
  const auto second = Granted(test.account.OnAsk(kOther, Ask(1, 1, 0, 0, 9)));
  const auto third = Granted(test.account.OnAsk(kNode, Ask(3, 1)));
  CHECK(first.tokens == 0);
  CHECK(first.pause == milliseconds(10));
  CHECK(first.retry_after == milliseconds(10));
  CHECK(second.retry_after == first.retry_after + milliseconds(200));
  CHECK(third.retry_after == second.retry_after + milliseconds(100));
}

// Guards against a Retry-After beyond any use, and against overflow, for a
// limit far below one request per second.
TEST_CASE("RequestRateAccount.BoundsTheRetryOfATinyRate") {
  auto clock = ManualClock();
  auto account = RequestRateAccount(RequestRateSettings(),
                                    {.rate = 1e-9, .burst = 0}, clock.AsHook());
  CHECK(Granted(account.OnAsk(kNode, Ask(1, 4))).tokens == 4);
  const auto grant = Granted(account.OnAsk(kNode, Ask(2, 4'000'000'000)));
  CHECK(grant.tokens == 0);
  CHECK(grant.retry_after == seconds(30));
}

// Guards against a balance from before the limit was lowered.
TEST_CASE("RequestRateAccount.ALowerLimitCapsTheBalance") {
  auto test = Account();
  test.account.SetLimit({.rate = 2, .burst = 1});
  CHECK(test.account.balance() == Approx(9));
}

struct Keeper {
  explicit Keeper(bool settled = true) {
    accounts.SetLimits({{kName, kLimit}});
    if (settled) {
      clock.Advance(seconds(1));
    }
  }

  ManualClock clock;
  NodeId keeper = kNode;
  RequestRateAccounts accounts{
      RequestRateSettings(), kNode,
      [this](const OrganisationName&) { return keeper; }, clock.AsHook()};
};

// Guards against an account for each of many nodes that start together.
TEST_CASE("RequestRateAccounts.AnswersNothingJustAfterTheStart") {
  auto test = Keeper(false);
  CHECK_FALSE(test.accounts.OnAsk(kOther, Ask(1, 1), false).grant);
  CHECK_FALSE(test.accounts.OnAsk(kOther, Ask(1, 1), true).grant);
}

// Guards against two accounts while some nodes know a new member and others do
// not, and against an ask that is sent around.
TEST_CASE("RequestRateAccounts.SendsAnAskOnToTheKeeperOnce") {
  auto test = Keeper();
  test.keeper = kOther;
  const auto answer = test.accounts.OnAsk(kOther, Ask(1, 1), false);
  CHECK_FALSE(answer.grant);
  CHECK(answer.keeper == kOther);
  CHECK(test.accounts.size() == 0);
  CHECK(test.accounts.OnAsk(kOther, Ask(2, 1), true).grant);
}

// Guards against a full balance at a node that becomes the keeper again after
// another one has granted tokens.
TEST_CASE("RequestRateAccounts.HandsOverTheBalance") {
  auto test = Keeper();
  CHECK(test.accounts.OnAsk(kOther, Ask(1, 20), false).grant);
  test.keeper = kOther;
  const auto handovers = test.accounts.OnMembersChanged();
  REQUIRE(handovers.size() == 1);
  CHECK(handovers[0].keeper == kOther);
  CHECK(handovers[0].balance == Approx(4));
  CHECK(test.accounts.size() == 0);
  test.keeper = kNode;
  test.accounts.OnHandover(kName, 2);
  CHECK(Granted(test.accounts.OnAsk(kOther, Ask(2, 5), false).grant).tokens ==
        2);
}

// Guards against the whole rate on both sides of a partition, and against a
// lower one after one of many nodes has ended.
TEST_CASE("RequestRateAccounts.AppliesTheShareOfTheReachableNodes") {
  auto test = Keeper();
  test.accounts.SetReachableShare(0.96);
  CHECK(Granted(test.accounts.OnAsk(kOther, Ask(1, 24), false).grant).tokens ==
        24);
  test.accounts.SetReachableShare(0.5);
  // The other half may have accepted 125 requests in 2.5 s.
  test.clock.Advance(milliseconds(2'500));
  CHECK(Granted(test.accounts.OnAsk(kOther, Ask(2, 50), false).grant).tokens ==
        0);
  test.clock.Advance(milliseconds(200));
  CHECK(Granted(test.accounts.OnAsk(kOther, Ask(3, 50), false).grant).tokens ==
        10);
}

// Guards against the start balance of a second keeper behind a partition.
TEST_CASE("RequestRateAccounts.StartsEmptyWhenNodesAreLost") {
  auto test = Keeper();
  test.accounts.SetReachableShare(0.5);
  CHECK(Granted(test.accounts.OnAsk(kOther, Ask(1, 1), false).grant).tokens ==
        0);
}

// Guards against an account of an organisation whose limit was removed.
TEST_CASE("RequestRateAccounts.DropsAccountsWithoutALimit") {
  auto test = Keeper();
  CHECK(test.accounts.OnAsk(kOther, Ask(1, 1), false).grant);
  test.accounts.SetLimits({});
  CHECK(test.accounts.size() == 0);
  CHECK_FALSE(test.accounts.OnAsk(kOther, Ask(2, 1), false).grant);
}

}  // namespace
}  // namespace kumquatgauge::serving
