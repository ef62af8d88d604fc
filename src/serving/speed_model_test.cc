#include <catch2/catch.hpp>
#include <cstdlib>
#include <iostream>
#include <sstream>
#include <string>

#include "testing/support/load_model.h"

namespace kumquatgauge::serving {
namespace {

using testing::LoadModelResult;
using testing::LoadModelSettings;
using testing::MeanOf;
using testing::QuantileOf;
using testing::RunLoadModel;

// A cell of one zone with replicas of three speeds, whose hosts' loads change.
auto MakeCell() -> LoadModelSettings {
  auto settings = LoadModelSettings();
  for (auto number = 0; number < 5; ++number) {
    const auto suffix = std::to_string(number);
    settings.replicas.push_back({"f" + suffix, "a", 8, 0.6});
    settings.replicas.push_back({"m" + suffix, "a", 8, 1.0});
    settings.replicas.push_back({"s" + suffix, "a", 8, 1.6});
  }
  settings.gateway_zones = {"a", "a", "a", "a"};
  settings.lowest_factor = 0.38;
  settings.highest_factor = 1.87;
  settings.length = std::chrono::seconds(40);
  settings.warm_up = std::chrono::seconds(10);
  settings.batch_slope = 1.0;
  return settings;
}

auto Describe(const std::string& load, const LoadModelResult& result)
    -> std::string {
  auto text = std::ostringstream();
  text << load << ": " << result.requests << " requests, " << result.refused
       << " refused, first event mean " << MeanOf(result.firsts) << " p99 "
       << QuantileOf(result.firsts, 0.99) << " ms, between events mean "
       << MeanOf(result.gaps) << " p99 " << QuantileOf(result.gaps, 0.99)
       << " ms";
  return text.str();
}

auto Append(LoadModelResult& all, const LoadModelResult& one) -> void {
  all.requests += one.requests;
  all.refused += one.refused;
  all.firsts.insert(all.firsts.end(), one.firsts.begin(), one.firsts.end());
  all.gaps.insert(all.gaps.end(), one.gaps.begin(), one.gaps.end());
}

struct Load {
  double batch_slope;
  bool host_load_varies;
  double rate_per_s;
};

// Load: traffic that jumps between 0.38 and 1.87 of its mean, replicas of the
// speeds 0.6, 1.0 and 1.6 that get slower by 30 or 100 % when they are full,
// with and without reports of changing loads of their hosts. Guards against
// requests at slow replicas while faster ones have room, and against queues at
// the fast ones. Two runs differ by chance once they have chosen differently,
// so that the results of ten seeds are compared together. With KQG_PRINT_MODEL
// set, prints the results.
TEST_CASE("SpeedModel.ShortensTheTimesToAndBetweenEvents") {
  constexpr std::uint64_t kSeeds = 10;
  for (const auto& load :
       {Load{0.3, false, 90.0}, Load{0.3, true, 90.0}, Load{1.0, false, 60.0},
        Load{1.0, true, 60.0}, Load{1.0, true, 90.0}}) {
    auto today = LoadModelResult();
    auto speeds = LoadModelResult();
    auto settings = MakeCell();
    settings.batch_slope = load.batch_slope;
    settings.rate_per_s = load.rate_per_s;
    settings.host_load_varies = load.host_load_varies;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      settings.seed = seed;
      settings.learns_speeds = false;
      settings.reports_host_load = false;
      Append(today, RunLoadModel(settings));
      settings.learns_speeds = true;
      settings.reports_host_load = load.host_load_varies;
      Append(speeds, RunLoadModel(settings));
    }
    auto name = std::ostringstream();
    name << "slope " << load.batch_slope
         << (load.host_load_varies ? ", hosts vary, " : ", hosts steady, ")
         << load.rate_per_s << "/s";
    const auto before = Describe(name.str() + ", today", today);
    const auto after = Describe(name.str() + ", speeds", speeds);
    if (std::getenv("KQG_PRINT_MODEL") != nullptr) {
      std::cout << before << "\n" << after << "\n";
    }
    INFO(before << "\n" << after);
    CHECK(MeanOf(speeds.firsts) < MeanOf(today.firsts));
    CHECK(MeanOf(speeds.gaps) < MeanOf(today.gaps));
    CHECK(QuantileOf(speeds.firsts, 0.99) <= QuantileOf(today.firsts, 0.99));
    CHECK(QuantileOf(speeds.gaps, 0.99) <= QuantileOf(today.gaps, 0.99));
    CHECK(speeds.refused <= today.refused);
  }
}

}  // namespace
}  // namespace kumquatgauge::serving
