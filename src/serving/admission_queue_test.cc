#include "kumquatgauge/serving/admission_queue.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "testing/support/manual_clock.h"

namespace kumquatgauge::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Ticket = AdmissionQueue::Ticket;

const ServiceName kService("chat");
constexpr auto kWait = milliseconds(60);
constexpr auto kLimit = milliseconds(5'000);

struct Fixture {
  // `slots` become free for this gateway in each `kWait`.
  explicit Fixture(std::uint32_t slots_in_wait)
      : supply{.slots = slots_in_wait, .hold = kWait, .gateways = 1} {}

  auto Request(const std::string& organisation = "") const -> AdmissionRequest {
    auto request = AdmissionRequest();
    request.service = kService;
    request.route = "chat";
    if (!organisation.empty()) {
      request.organisation = OrganisationName(organisation);
    }
    request.work = WorkOf(450, 20);
    request.start_by = clock.now() + kWait;
    request.deadline = clock.now() + kLimit;
    request.time_limit = kLimit;
    return request;
  }

  auto Wait(const AdmissionRequest& request) -> Ticket {
    return queue.Enqueue(request).ticket.value_or(0);
  }

  // Starts the waiting requests one by one; returns them in this order.
  auto Drain() -> std::vector<Ticket> {
    auto order = std::vector<Ticket>();
    while (!queue.Fronts().empty()) {
      order.push_back(queue.Fronts().front());
      queue.Leave(order.back(), true);
    }
    return order;
  }

  testing::ManualClock clock;
  SlotSupply supply;
  AdmissionQueue queue{AdmissionQueueSettings(), clock.AsHook(),
                       [] { return std::uint64_t{0}; },
                       [this](const ServiceName&) { return supply; }};
};

// Guards against routes whose rank outweighs the priority of an organisation,
// and against new requests that are served before callers without a further
// attempt.
TEST_CASE("AdmissionQueue.ServesByPriorityThenRankThenReturningThenStart") {
  auto fixture = Fixture(10);
  auto late = fixture.Request();
  late.start_by += milliseconds(10);
  auto low_rank = fixture.Request();
  low_rank.rank = 1;
  auto low_priority = fixture.Request();
  low_priority.priority = 1;
  const auto fifth = fixture.Wait(low_priority);
  const auto fourth = fixture.Wait(low_rank);
  const auto third = fixture.Wait(late);
  const auto second = fixture.Wait(fixture.Request());
  auto returning = fixture.Request();
  returning.returning = true;
  const auto first = fixture.Wait(returning);
  CHECK(fixture.Drain() ==
        std::vector<Ticket>{first, second, third, fourth, fifth});
}

// Guards against one organisation's burst that delays the single requests of
// others, and against a large request that waits for its own size.
TEST_CASE("AdmissionQueue.PlacesABurstBehindOthersByItsWork") {
  auto fixture = Fixture(10);
  fixture.queue.OnFull(kService);
  for (const auto* name : {"a", "b", "c", "d"}) {
    fixture.queue.OnArrival(fixture.Request(name));
  }
  const auto burst = std::vector<Ticket>{fixture.Wait(fixture.Request("a")),
                                         fixture.Wait(fixture.Request("a")),
                                         fixture.Wait(fixture.Request("a"))};
  auto large = fixture.Request("b");
  large.work *= 4;
  large.start_by += milliseconds(1);
  const auto b = fixture.Wait(large);
  CHECK(fixture.Drain() ==
        std::vector<Ticket>{burst.at(0), b, burst.at(1), burst.at(2)});
}

// Guards against the largest organisation being served last in every shortage
// for the share of requests that it always has.
TEST_CASE("AdmissionQueue.PlacesAUsuallyLargeOrganisationAsOthers") {
  auto fixture = Fixture(20);
  fixture.queue.OnFull(kService);
  for (auto round = 0; round < 50; ++round) {
    for (const auto* name : {"a", "a", "a", "a", "a", "b", "c", "d"}) {
      fixture.queue.OnArrival(fixture.Request(name));
    }
  }
  const auto first = fixture.Wait(fixture.Request("a"));
  const auto second = fixture.Wait(fixture.Request("a"));
  fixture.clock.Advance(milliseconds(1));
  const auto third = fixture.Wait(fixture.Request("b"));
  CHECK(fixture.Drain() == std::vector<Ticket>{first, second, third});
}

// Guards against callers that wait though the requests ahead of them take all
// slots, which costs them the time for their other attempt.
TEST_CASE("AdmissionQueue.RefusesAtOnceWhatCannotStartInTime") {
  auto fixture = Fixture(3);
  CHECK(fixture.Wait(fixture.Request()) != 0);
  CHECK(fixture.Wait(fixture.Request()) != 0);
  const auto last = fixture.Wait(fixture.Request());
  CHECK(last != 0);
  CHECK(fixture.Wait(fixture.Request()) == 0);
  auto urgent = fixture.Request();
  urgent.start_by -= milliseconds(1);
  const auto placement = fixture.queue.Enqueue(urgent);
  CHECK(placement.ticket);
  CHECK(placement.displaced == std::vector<Ticket>{last});
  CHECK_FALSE(fixture.queue.IsWaiting(last));
  // A request that may have run cannot be refused any more.
  auto continued = fixture.Request();
  continued.must_wait = true;
  CHECK(fixture.Wait(continued) != 0);
}

// Guards against each gateway of a cell counting on all the cell's slots, and
// against waits for replicas that are gone.
TEST_CASE("AdmissionQueue.CountsOnItsShareOfTheSlotsOnly") {
  auto fixture = Fixture(30);
  fixture.supply.gateways = 15;
  CHECK(fixture.Wait(fixture.Request()) != 0);
  CHECK(fixture.Wait(fixture.Request()) != 0);
  CHECK(fixture.Wait(fixture.Request()) == 0);
  fixture.supply.slots = 0;
  CHECK(fixture.Wait(fixture.Request()) == 0);
}

// Guards against a place that a disconnected caller keeps from others.
TEST_CASE("AdmissionQueue.GivesThePlaceOfALeavingCallerToTheNext") {
  auto fixture = Fixture(1);
  const auto leaving = fixture.Wait(fixture.Request("a"));
  CHECK(fixture.Wait(fixture.Request("a")) == 0);
  fixture.queue.Leave(leaving, false);
  CHECK(fixture.Wait(fixture.Request("a")) != 0);
}

// Guards against callers that all return at once and are refused again, and
// against a caller with little time that gets the last slot.
TEST_CASE("AdmissionQueue.SendsCallersBackOneAfterTheOther") {
  auto fixture = Fixture(1);
  fixture.supply.hold = milliseconds(800);
  fixture.supply.slots = 8;
  fixture.queue.OnFull(kService);
  const auto back = [&](Duration time_left) {
    auto request = fixture.Request();
    request.deadline = fixture.clock.now() + time_left;
    return fixture.queue.RetryAfter(request);
  };
  CHECK(back(seconds(5)) == milliseconds(400));
  CHECK(back(seconds(5)) == milliseconds(500));
  CHECK(back(seconds(5)) == milliseconds(600));
  CHECK(back(seconds(5)) == milliseconds(700));
  // Served first when all return, as its deadline is earlier.
  CHECK(back(milliseconds(1'500)) == milliseconds(400));
  CHECK(back(milliseconds(1'500)) == milliseconds(500));
  CHECK(back(milliseconds(900)) == milliseconds(300));
  // The slots kept for callers, and their number, stay limited in a flood.
  for (auto i = 0; i < 1'000; ++i) {
    CHECK(back(milliseconds(4'500)) <= milliseconds(1'500));
  }
  CHECK(fixture.queue.promised(kService) <= 2 * 1'500 / 100);
}

// Guards against new requests that take the slots of callers that were told to
// return and have no further attempt.
TEST_CASE("AdmissionQueue.KeepsSlotsForCallersToldToReturn") {
  auto fixture = Fixture(2);
  for (auto i = 0; i < 2; ++i) {
    fixture.queue.RetryAfter(fixture.Request());
  }
  CHECK(fixture.queue.promised(kService) == 2);
  for (auto i = 0; i < 5; ++i) {
    CHECK_FALSE(fixture.queue.OnArrival(fixture.Request()));
  }
  fixture.clock.Advance(kWait / 2);
  CHECK(fixture.Wait(fixture.Request()) == 0);
  auto returning = fixture.Request();
  returning.time_limit = kLimit * 4 / 5;
  REQUIRE(fixture.queue.OnArrival(returning));
  returning.returning = true;
  CHECK(fixture.queue.promised(kService) == 1);
  CHECK(fixture.Wait(returning) != 0);
  // Nobody else has returned in time.
  fixture.clock.Advance(seconds(1));
  CHECK(fixture.Wait(fixture.Request()) != 0);
  CHECK(fixture.queue.promised(kService) == 0);
}

// Guards against callers of another kind, which always wait for less long,
// being taken for returning ones.
TEST_CASE("UsualTimeLimit.RecognisesLessTimeThanUsual") {
  auto usual = UsualTimeLimit();
  CHECK_FALSE(usual.OnRequest("chat", milliseconds(4'300)));
  for (auto i = 0; i < 5; ++i) {
    CHECK_FALSE(usual.OnRequest("chat", milliseconds(5'000 - i)));
  }
  CHECK(usual.OnRequest("chat", milliseconds(4'300)));
  CHECK_FALSE(usual.OnRequest("chat", milliseconds(2'000)));
  CHECK_FALSE(usual.OnRequest("chat", milliseconds(9'000)));
  CHECK_FALSE(usual.OnRequest("chat", milliseconds(0)));
  CHECK_FALSE(usual.OnRequest("other", milliseconds(4'300)));
}

}  // namespace
}  // namespace kumquatgauge::serving
