#include "kumquatgauge/serving/prompt_parts.h"

#include <catch2/catch.hpp>

namespace kumquatgauge::serving {
namespace {

// Guards against names of one part that differ between log lines.
TEST_CASE("PromptParts.HaveNamesOfOneLength") {
  CHECK(PartName(0) == "0000000000000000");
  CHECK(PartName(0xab) == "00000000000000ab");
  CHECK(PartNames({}).empty());
  CHECK(PartNames({1, 2}) == "0000000000000001,0000000000000002");
}

}  // namespace
}  // namespace kumquatgauge::serving
