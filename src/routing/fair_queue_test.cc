#include "kumquatgauge/routing/fair_queue.h"

#include <catch2/catch.hpp>
#include <map>
#include <string>

namespace kumquatgauge::routing {
namespace {

auto Push(FairQueue& queue,
          const std::string& organisation,
          int number,
          double cost = 1.0,
          double weight = 1.0) -> void {
  queue.Push({RequestId(organisation + std::to_string(number)),
              OrganisationName(organisation),
              {}},
             cost, weight);
}

// Pops `count` entries and counts them by organisation.
auto Take(FairQueue& queue, int count) -> std::map<std::string, int> {
  std::map<std::string, int> taken;
  for (int index = 0; index < count; ++index) {
    ++taken[queue.Pop().value_or(FairQueue::Entry()).organisation.value()];
  }
  return taken;
}

// Guards against one organisation's burst delaying another's request.
TEST_CASE("FairQueue.ServesALateSmallOrganisationBeforeABacklog") {
  FairQueue queue;
  for (int number = 0; number < 100; ++number) {
    Push(queue, "big", number);
  }
  Take(queue, 10);
  Push(queue, "small", 0);
  CHECK(queue.Position(RequestId("small0")) <= 1);
}

TEST_CASE("FairQueue.SharesByWeight") {
  FairQueue queue;
  for (int number = 0; number < 100; ++number) {
    Push(queue, "one", number, 1.0, 1.0);
    Push(queue, "three", number, 1.0, 3.0);
  }
  auto taken = Take(queue, 80);
  CHECK(taken["three"] == 60);
}

TEST_CASE("FairQueue.SharesByCost") {
  FairQueue queue;
  for (int number = 0; number < 100; ++number) {
    Push(queue, "long", number, 4.0);
    Push(queue, "short", number, 1.0);
  }
  auto taken = Take(queue, 50);
  CHECK(taken["short"] == 40);
}

// Guards against an organisation that accumulates credit while it is idle.
TEST_CASE("FairQueue.GivesNoCreditForIdleTime") {
  FairQueue queue;
  for (int number = 0; number < 50; ++number) {
    Push(queue, "busy", number);
  }
  Take(queue, 40);
  for (int number = 0; number < 10; ++number) {
    Push(queue, "late", number);
  }
  auto taken = Take(queue, 10);
  CHECK(taken["late"] <= 6);
}

TEST_CASE("FairQueue.ForgetsRemovedEntries") {
  FairQueue queue;
  Push(queue, "a", 0);
  Push(queue, "a", 1);
  CHECK(queue.Remove(RequestId("a0")));
  CHECK_FALSE(queue.Remove(RequestId("a0")));
  CHECK(queue.Pop().value_or(FairQueue::Entry()).id == RequestId("a1"));
  CHECK(queue.empty());
}

}  // namespace
}  // namespace kumquatgauge::routing
