#include "kumquatgauge/serving/batch_allocator.h"

#include <catch2/catch.hpp>
#include <memory>
#include <random>
#include <vector>

#include "testing/support/manual_clock.h"

namespace kumquatgauge::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServiceName kService("chat");
constexpr auto kOwners = std::size_t{16};
constexpr auto kSlots = 96U;

// Owners of a cell that take slots in rounds of 25 ms. Each knows what the
// others have started up to the round before.
struct Owners {
  explicit Owners(unsigned seed) : random(seed) {
    for (std::size_t at = 0; at < kOwners; ++at) {
      allocators.push_back(std::make_unique<BatchAllocator>(
          BatchAllocatorSettings(), [this] { return random(); }));
    }
  }

  // Runs one round in which the first `active` owners have many items.
  auto Round(std::size_t active, std::uint32_t online) -> void {
    clock.Advance(milliseconds(25));
    const auto before = started;
    const auto all = Total();
    for (std::size_t at = 0; at < kOwners; ++at) {
      auto load = BatchLoad();
      load.in_flight = {online, all};
      load.room = {kSlots, online + all, 0};
      load.reserve = 0.1;
      load.owners = kOwners;
      const auto waiting = at < active ? std::size_t{100} : 0;
      started[at] +=
          allocators[at]
              ->Starts(kService, load, {waiting, before[at], seconds(2)},
                       clock.now())
              .free *
          (at < active ? 1 : 0);
    }
  }

  auto Total() const -> std::uint32_t {
    auto all = std::uint32_t{0};
    for (const auto count : started) {
      all += static_cast<std::uint32_t>(count);
    }
    return all;
  }

  std::mt19937_64 random;
  testing::ManualClock clock;
  std::vector<std::unique_ptr<BatchAllocator>> allocators;
  std::vector<std::size_t> started = std::vector<std::size_t>(kOwners);
};

// Guards against free slots that a single owner takes one by one, and against
// owners that together take more than there are.
TEST_CASE("BatchAllocator.FillsATroughWithin100MsWithoutOverrun") {
  const auto active = GENERATE(1, 2, 5, 16);
  constexpr auto kOnline = 16U;
  constexpr auto kFree = 86U - kOnline;
  for (auto seed = 1U; seed <= 50; ++seed) {
    auto owners = Owners(seed);
    owners.Round(0, kOnline);
    for (auto round = 0; round < 4; ++round) {
      owners.Round(static_cast<std::size_t>(active), kOnline);
      CHECK(owners.Total() <= kFree);
    }
    CHECK(owners.Total() >= kFree / 2);
  }
}

// Guards against all owners stopping the whole excess each.
TEST_CASE("BatchAllocator.DividesTheExcessAmongOwners") {
  auto random = std::mt19937_64(1);
  auto allocator =
      BatchAllocator(BatchAllocatorSettings(), [&] { return random(); });
  auto load = BatchLoad();
  load.room = {kSlots, 96, 0};
  load.reserve = 0.1;
  load.in_flight = {76, 20};
  load.own = 5;
  load.all = 20;
  const auto now = testing::ManualClock().now();
  auto stopped = std::size_t{0};
  for (auto round = 0; round < 1'000; ++round) {
    stopped += allocator.Yields(kService, load, now);
  }
  CHECK(static_cast<double>(stopped) / 1'000 == Approx(2.5).margin(0.1));
  load.room.in_flight = 86;
  CHECK(allocator.Yields(kService, load, now) == 0);
}

// Load pattern: steps of the online load at a service whose replicas all limit
// their starts. Guards against items that wait for slots that last, although
// items at such replicas do not stop.
TEST_CASE("BatchAllocator.StartsAtLimitedReplicasBeforeARise") {
  auto random = std::mt19937_64(1);
  auto clock = testing::ManualClock();
  auto allocator =
      BatchAllocator(BatchAllocatorSettings(), [&] { return random(); });
  for (auto step = 0; step < 12; ++step) {
    for (auto sample = 0; sample < 60; ++sample) {
      clock.Advance(milliseconds(50));
      allocator.OnLoad(kService, step % 2 == 0 ? 45 : 9, clock.now());
    }
  }
  REQUIRE(allocator.forecast().OutlookOf(kService, clock.now()).rise);
  auto load = BatchLoad();
  load.room = {0, 0, 40};
  load.in_flight = {9, 0};
  const auto demand = BatchDemand{10, 0, seconds(2)};
  const auto limits = allocator.Starts(kService, load, demand, clock.now());
  CHECK(limits.free > 0);
  CHECK(limits.lasting == limits.free);
}

// Guards against items that stop although they end before an online request
// has waited too long.
TEST_CASE("BatchAllocator.TakesTheShortestTargetAsTheOnlineWait") {
  auto configuration = Configuration();
  const auto add = [&](RequestKind kind, milliseconds target) {
    auto route = Route();
    route.kind = kind;
    route.latency_target = target;
    route.services = {{kService, 1}};
    configuration.routes.push_back(route);
  };
  add(RequestKind::kBatch, milliseconds(10));
  CHECK(OnlineWait(configuration, kService) == Duration::zero());
  add(RequestKind::kStream, milliseconds(300));
  add(RequestKind::kIdempotent, milliseconds(200));
  CHECK(OnlineWait(configuration, kService) == milliseconds(80));
  CHECK(OnlineWait(configuration, ServiceName("x")) == Duration::zero());
}

}  // namespace
}  // namespace kumquatgauge::serving
