#include "kumquatgauge/serving/request_fingerprint.h"

#include <catch2/catch.hpp>
#include <string>

namespace kumquatgauge::serving {
namespace {

TEST_CASE("RequestFingerprint.IsEqualForARequestThatComesAgain") {
  CHECK(FingerprintOf("POST", "h.example", "/a/1", "body") ==
        FingerprintOf("POST", "h.example", "/a/1", "body"));
}

// Guards against a request that is blamed for another one, above all one whose
// fields run into each other.
TEST_CASE("RequestFingerprint.DiffersWithEachField") {
  const auto request = FingerprintOf("POST", "h.example", "/a/1", "body");
  CHECK(request != FingerprintOf("PUT", "h.example", "/a/1", "body"));
  CHECK(request != FingerprintOf("POST", "i.example", "/a/1", "body"));
  CHECK(request != FingerprintOf("POST", "h.example", "/a/2", "body"));
  CHECK(request != FingerprintOf("POST", "h.example", "/a/1", "bodx"));
  CHECK(request != FingerprintOf("POST", "h.example/a", "/1", "body"));
  CHECK(request != FingerprintOf("POST", "h.example", "/a/1b", "ody"));
}

}  // namespace
}  // namespace kumquatgauge::serving
