#include "kumquatgauge/serving/readiness_report.h"

#include <catch2/catch.hpp>

namespace kumquatgauge::serving {
namespace {

using std::chrono::milliseconds;

// Guards against a gateway that is reported as ready before its API keys may be
// accepted, and against a start that waits for other gateways.
TEST_CASE("ReadinessReport.IsReadyWithConfigurationKeysAndReplicas") {
  auto now = MonotonicTime();
  auto report = ReadinessReport([&] { return now; });
  const auto logger = Logger("test");
  now += milliseconds(40);
  report.Update({.configuration = true, .replicas = true}, logger);
  CHECK_FALSE(report.times().ready);
  now += milliseconds(300);
  report.Update({.configuration = true, .keys = true, .replicas = true},
                logger);
  CHECK(report.times() == ReadinessTimes{.configuration = milliseconds(40),
                                         .keys = milliseconds(340),
                                         .replicas = milliseconds(40),
                                         .ready = milliseconds(340)});
  now += milliseconds(500);
  report.Update({.peers = true}, logger);
  CHECK(report.times().peers == Duration(milliseconds(840)));
  CHECK(report.times().ready == Duration(milliseconds(340)));
}

}  // namespace
}  // namespace kumquatgauge::serving
