#ifndef TESTING_SOAK_SOAK_H_
#define TESTING_SOAK_SOAK_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace kumquatgauge::testing {

struct SoakSettings {
  std::string gateway;  // The program.
  std::string folder;   // For settings and logs; must exist.
  std::uint64_t seed = 1;
  std::chrono::seconds time{20};  // With faults, without the time to settle.
  int nodes = 4;
  // Whether most faults are left out, so that those of the store's answers meet
  // nodes that are in touch.
  bool rare_faults = false;
  // Whether the run is about a release: all replicas are replaced by ones of a
  // new software version near the start, and then only nodes are killed, one at
  // a time.
  bool release = false;
};

struct SoakReport {
  std::vector<std::string> violations;
  std::map<std::string, int> replies;  // Count by outcome.
  std::map<std::string, int> faults;   // Count by kind.
};

// Runs real gateway processes against fakes of the users' platform, with
// callers of every kind and faults drawn from the seed, and checks the
// guarantees to callers while it runs and once all faults have ended.
auto RunSoak(const SoakSettings& settings) -> SoakReport;

}  // namespace kumquatgauge::testing

#endif  // TESTING_SOAK_SOAK_H_
