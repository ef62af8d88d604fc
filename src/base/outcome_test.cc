#include "kumquatgauge/base/outcome.h"

#include <catch2/catch.hpp>

#include "kumquatgauge/base/error.h"

namespace kumquatgauge {
namespace {

// Guards against a name that ParseOutcomeKind does not accept.
TEST_CASE("Outcome.NameReadsBackForEveryKind") {
  for (auto kind :
       {OutcomeKind::kCompleted, OutcomeKind::kNotRun, OutcomeKind::kUnknown,
        OutcomeKind::kFailed, OutcomeKind::kCancelled}) {
    CHECK(ParseOutcomeKind(OutcomeKindName(kind)) == kind);
  }
}

TEST_CASE("Outcome.ThrowsOnUnknownName") {
  CHECK_THROWS_AS(ParseOutcomeKind("done"), Error);
}

}  // namespace
}  // namespace kumquatgauge
