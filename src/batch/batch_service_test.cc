#include "kumquatgauge/batch/batch_service.h"

#include <catch2/catch.hpp>

#include "batch/test_world.h"

namespace kumquatgauge::batch {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;
using testing::World;

// Guards against a job that is accepted and never run or read.
TEST_CASE("BatchService.CompletesAJobWithEveryResult") {
  auto world = World();
  world.StartNode("a");
  const auto job = world.MakeJob("j", 1'000);
  CHECK(world.Submit("a", job).manifest.items == 1'000);
  REQUIRE(world.AdvanceUntil(minutes(2), [&] { return world.Finished(job); }));
  CHECK(world.Faults(job).empty());
}

}  // namespace
}  // namespace kumquatgauge::batch
