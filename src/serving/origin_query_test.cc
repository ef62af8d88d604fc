#include "kumquatgauge/serving/origin_query.h"

#include <catch2/catch.hpp>

namespace kumquatgauge::serving {
namespace {

using std::chrono::milliseconds;

const StreamOrigin kOld{ServiceName("chat"), "v1"};
const StreamOrigin kNew{ServiceName("chat"), "v2"};

auto Recorded(const StreamOrigin& origin) -> OriginAnswer {
  return {origin, std::nullopt, Duration::zero()};
}

auto Sole(const StreamOrigin& origin, Duration age) -> OriginAnswer {
  return {std::nullopt, origin, age};
}

// Guards against a stream that goes on at the only version that one node knows,
// while another node has recorded that a different one began it.
TEST_CASE("OriginQuery.PrefersARecordToASoleVersion") {
  auto query = OriginQuery(3);
  query.OnAnswer(Sole(kNew, milliseconds(0)));
  CHECK_FALSE(query.done());
  query.OnAnswer(Recorded(kOld));
  CHECK(query.done());
  CHECK(query.origin() == kOld);
}

// Guards against statements of nodes that have not read the store lately.
TEST_CASE("OriginQuery.IgnoresOldStatementsAndTakesTheNewest") {
  auto query = OriginQuery(3);
  query.OnAnswer(Sole(kOld, kMaxSoleVersionAge + milliseconds(1)));
  CHECK_FALSE(query.origin());
  query.OnAnswer(Sole(kOld, milliseconds(900)));
  query.OnAnswer(Sole(kNew, milliseconds(100)));
  CHECK(query.done());
  CHECK(query.origin() == kNew);
}

// Guards against a guess, and against a wait without end, if nobody knows.
TEST_CASE("OriginQuery.KnowsNothingIfNobodyDoes") {
  auto query = OriginQuery(2);
  query.OnAnswer(std::nullopt);
  CHECK_FALSE(query.done());
  query.OnAnswer(OriginAnswer());
  CHECK(query.done());
  CHECK_FALSE(query.origin());
}

}  // namespace
}  // namespace kumquatgauge::serving
