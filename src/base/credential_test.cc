#include "kumquatgauge/base/credential.h"

#include <catch2/catch.hpp>

namespace kumquatgauge {
namespace {

TEST_CASE("Credential.FindsHolderOfExactTokenOnly") {
  const auto credentials = OperatorCredentials(
      {{.name = "ana", .role = OperatorRole::kChange, .token = "abcdefgh"}});
  CHECK(credentials.Find("abcdefgh")->name == "ana");
  CHECK_FALSE(credentials.Find("abcdefg").has_value());
  CHECK_FALSE(credentials.Find("abcdefgi").has_value());
  CHECK_FALSE(credentials.Find("").has_value());
}

}  // namespace
}  // namespace kumquatgauge
