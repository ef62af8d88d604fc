#include "kumquatgauge/serving/job.h"

#include <catch2/catch.hpp>
#include <set>
#include <string>

#include "base/hex_hash.h"

namespace kumquatgauge::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

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

// Guards against an open job that is removed, and against one that is removed
// as soon as it is over because it was accepted long ago.
TEST_CASE("Job.ExpiresSomeTimeAfterItIsOver") {
  constexpr std::uint64_t kAccepted = 1'000'000;
  constexpr std::uint64_t kOver = 2'000'000;
  constexpr milliseconds kRetention = seconds(600);
  constexpr auto kRetentionMs = static_cast<std::uint64_t>(kRetention.count());
  auto state = JobState();
  state.accepted_ms = kAccepted;
  CHECK_FALSE(IsExpired(state, kAccepted + 100 * kRetentionMs, kRetention));
  state.done = true;
  state.over_ms = kOver;
  CHECK_FALSE(IsExpired(state, kOver + kRetentionMs, kRetention));
  CHECK(IsExpired(state, kOver + kRetentionMs + 1, kRetention));
  // A clock that is behind that of the node that wrote the state.
  CHECK_FALSE(IsExpired(state, kOver - 5'000, kRetention));
  // As earlier releases stored it.
  state.over_ms = 0;
  CHECK(IsExpired(state, kAccepted + kRetentionMs + 1, kRetention));
  CHECK(DecodeState(state.id, EncodeState(state)) == state);
}

}  // namespace
}  // namespace kumquatgauge::serving
