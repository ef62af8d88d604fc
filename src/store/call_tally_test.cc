#include "kumquatgauge/store/call_tally.h"

#include <catch2/catch.hpp>

#include "kumquatgauge/store/platform_client.h"

namespace kumquatgauge::store {
namespace {

auto Kind(const std::string& method,
          const std::string& object,
          CallClass call_class = CallClass::kResult,
          bool watch = false) -> StoreCallKind {
  auto call = PlatformCall();
  call.method = method;
  call.object = object;
  call.call_class = call_class;
  call.watch = watch;
  return KindOf(call);
}

// Guards against counts that mix calls of different prices, or that have one
// series for each object.
TEST_CASE("CallTally.SeparatesObjectKindsMethodsAndStaleReads") {
  using K = StoreCallKind;
  const auto status = CallClass::kStatus;
  CHECK(Kind("GET", "job-states/a") == K{"job-states", "read"});
  CHECK(Kind("GET", "job-states/a", status) == K{"job-states", "read_stale"});
  CHECK(Kind("GET", "job-states/") == K{"job-states", "list"});
  CHECK(Kind("GET", "job-states/", status) == K{"job-states", "list_stale"});
  CHECK(Kind("GET", "servers/", CallClass::kConfiguration, true) ==
        K{"servers", "watch"});
  CHECK(Kind("POST", "job-results/a.0") == K{"job-results", "create"});
  CHECK(Kind("PUT", "job-states/a") == K{"job-states", "replace"});
  CHECK(Kind("DELETE", "jobs/a/b", status) == K{"jobs", "remove"});
  CHECK(Kind("GET", "hosts") == K{"hosts", "read"});
}

}  // namespace
}  // namespace kumquatgauge::store
