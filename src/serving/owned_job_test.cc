#include "serving/owned_job.h"

#include <catch2/catch.hpp>

namespace kumquatgauge::serving::detail {
namespace {

// Guards against results that pile up while the store is out and then never fit
// in one of its values.
TEST_CASE("OwnedJob.LimitsTheSizeOfAChunk") {
  constexpr std::size_t kTextBytes = 150'000;
  constexpr std::size_t kTooLong = 900'000;
  auto job = OwnedJob();
  for (const auto* item : {"a", "b", "c"}) {
    job.unstored.push_back({item, true, std::string(kTextBytes, 't')});
  }
  const auto first = job.NextChunk();
  REQUIRE(first.size() == 2);
  CHECK(first[0].item == "a");
  CHECK(first[1].item == "b");
  job.AppendStored(ResultChunk{JobId("j"), {}, "n1.1", first});
  CHECK(job.NextChunk() == job.unstored);
  job.unstored = {{"d", true, std::string(kTooLong, 't')},
                  {"e", true, std::string()}};
  CHECK(job.NextChunk().size() == 1);
}

}  // namespace
}  // namespace kumquatgauge::serving::detail
