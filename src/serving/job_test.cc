#include "kumquatgauge/serving/job.h"

#include <catch2/catch.hpp>
#include <set>
#include <string>

#include "base/hex_hash.h"

namespace kumquatgauge::serving {
namespace {

// Guards against a caller that names the job of another organisation by an id
// of its own that looks like the one under which that job is kept.
TEST_CASE("Job.KeepsJobsOfOrganisationsApartWhateverTheirIds") {
  const auto a = OrganisationName("a");
  const auto b = OrganisationName("b");
  const auto hash_of_a = kumquatgauge::detail::HexHash(a.value());
  const auto ids = std::vector<std::string>{"q",
                                            "q~",
                                            "q~~",
                                            "~",
                                            "q~" + hash_of_a,
                                            "q~~" + hash_of_a,
                                            "q~~~" + hash_of_a,
                                            "q~" + hash_of_a + "~" + hash_of_a,
                                            "~" + hash_of_a,
                                            hash_of_a};
  auto scoped = std::set<JobId>();
  for (const auto& id : ids) {
    scoped.insert(ScopedJobId(JobId(id), std::nullopt));
    scoped.insert(ScopedJobId(JobId(id), a));
    scoped.insert(ScopedJobId(JobId(id), b));
    CHECK(ScopedJobId(JobId(id), OrganisationName()) ==
          ScopedJobId(JobId(id), std::nullopt));
  }
  CHECK(scoped.size() == 3 * ids.size());
}

}  // namespace
}  // namespace kumquatgauge::serving
