#include "testing/support/reserved_ports.h"

#include <catch2/catch.hpp>
#include <set>

namespace kumquatgauge::testing {
namespace {

// Guards against two processes of a fleet that get the same port: one of them
// fails to start, and the nodes never all see each other.
TEST_CASE("ReservedPorts.NeverReturnsThePortOfAnother") {
  constexpr std::size_t kAddresses = 1'000;
  ReservedPorts ports;
  std::set<std::string> addresses;
  for (std::size_t i = 0; i < kAddresses; ++i) {
    addresses.insert(ports.Add());
  }
  CHECK(addresses.size() == kAddresses);
}

}  // namespace
}  // namespace kumquatgauge::testing
