#include <catch2/catch.hpp>
#include <fstream>
#include <string>

#include "kumquatgauge/operator/command.h"

namespace kumquatgauge::operators {
namespace {

// Guards against examples in docs/operators.md that the grammar rejects.
TEST_CASE("OperatorsPage.EveryExampleParses") {
  auto page = std::ifstream(KQG_SOURCE_DIR "/docs/operators.md");
  REQUIRE(page.is_open());
  constexpr auto kPrefix = std::string_view("    kqgctl ");
  auto examples = 0;
  for (auto line = std::string(); std::getline(page, line);) {
    if (!line.starts_with(kPrefix)) {
      continue;
    }
    INFO(line);
    CHECK_NOTHROW(ParseCommand(line.substr(kPrefix.size()), OperatorVerbs()));
    ++examples;
  }
  CHECK(examples >= 20);
}

}  // namespace
}  // namespace kumquatgauge::operators
