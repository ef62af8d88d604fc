#include "testing/soak/removable_route_load.h"

#include <chrono>
#include <random>
#include <thread>

#include "testing/soak/job_items.h"

namespace kumquatgauge::testing {
namespace {

using nlohmann::json;

constexpr int kAccepted = 202;
// More than a replica runs at once, so that some wait when the route goes.
constexpr std::size_t kItems = 24;
constexpr std::chrono::milliseconds kPause{600};
constexpr std::chrono::milliseconds kPauseAfterRefusal{50};

}  // namespace

auto RemovableRouteLoad::Prefix() const -> std::string {
  return "/removable-" + std::to_string(number_) + "/";
}

auto RemovableRouteLoad::AddTo(json& configuration) const -> void {
  const auto lock = std::lock_guard(mutex_);
  if (!removed_) {
    configuration.at("routes").push_back(
        MakeRoute(Prefix(), "batch",
                  {{"name", "removable-" + std::to_string(number_)},
                   {"completion_target_ms", 18'000},
                   {"max_attempts", 3},
                   {"retention_s", 3'600}}));
  }
}

auto RemovableRouteLoad::Change(std::uint64_t random) -> void {
  const auto lock = std::lock_guard(mutex_);
  if (removed_ && random % 2 == 0) {
    ++number_;
  }
  removed_ = !removed_;
}

auto RemovableRouteLoad::Run(std::uint64_t seed, const std::atomic<bool>& done)
    -> void {
  auto random = std::mt19937_64(seed);
  for (auto number = 0; !done; ++number) {
    const auto job = kJobPrefix + std::to_string(number);
    const auto items = ItemsOf(job, kItems);
    auto path = std::string();
    {
      const auto lock = std::lock_guard(mutex_);
      path = Prefix() + "1";
    }
    const auto reply = node_(random()).Call("POST", path, job, JobBody(items));
    checker_.OnSubmitted(job, items, reply, false);
    const auto accepted = reply.status == kAccepted;
    jobs_ += accepted ? 1 : 0;
    std::this_thread::sleep_for(accepted ? kPause : kPauseAfterRefusal);
  }
}

}  // namespace kumquatgauge::testing
