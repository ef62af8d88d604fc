#include "serving/counts_codec.h"

#include <catch2/catch.hpp>

namespace kumquatgauge::serving {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr std::size_t kMaxEntries = 40;

TEST_CASE("CountsCodec.KeepsCountsAndReports") {
  auto counts = InFlightCounts{{ReplicaId("r1"), {1, 2}},
                               {ReplicaId("r2"), {3, 0}},
                               {ReplicaId("r4"), {4, 0}}};
  auto reports = SilenceReports();
  reports.replicas[ReplicaId("r1")].heard = milliseconds(7);
  auto& silent = reports.replicas[ReplicaId("r2")];
  silent.started_ms = 1'700'000'000'000;
  silent.probing = true;
  silent.overdue = {{milliseconds(150), 1}, {milliseconds(401), 2}};
  // Its request has ended.
  reports.replicas[ReplicaId("r3")].overdue = {{milliseconds(900), 2}};
  const auto text = detail::EncodeCounts(counts, reports, kMaxEntries).dump();
  const auto [read_counts, read_reports] =
      detail::DecodeCounts(json::parse(text));
  counts[ReplicaId("r3")] = {};
  CHECK(read_counts == counts);
  CHECK(read_reports == reports);
}

// Guards against nodes of an earlier release that lose the counts of this one,
// and the other way round.
TEST_CASE("CountsCodec.ExchangesCountsWithEarlierReleases") {
  auto reports = SilenceReports();
  reports.replicas[ReplicaId("r1")].overdue = {{milliseconds(200), 1}};
  const auto encoded =
      detail::EncodeCounts({{ReplicaId("r1"), {1, 2}}}, reports, kMaxEntries);
  REQUIRE(encoded.size() == 1);
  CHECK(encoded.at(0).at(0) == "r1");
  CHECK(encoded.at(0).at(1) == 1);
  CHECK(encoded.at(0).at(2) == 2);
  const auto [counts, none] =
      detail::DecodeCounts(json::parse(R"([["r1", 5, 6]])"));
  CHECK(counts == InFlightCounts{{ReplicaId("r1"), {5, 6}}});
  CHECK(none.replicas.empty());
}

// Guards against silent replicas that nobody learns of because the datagram has
// no room left, and against datagrams that are fragmented and so lost more
// often.
TEST_CASE("CountsCodec.TellsOfSilentReplicasFirst") {
  constexpr std::size_t kDatagramBytes = 1'400;
  auto counts = InFlightCounts();
  auto reports = SilenceReports();
  for (auto at = 0; at < 60; ++at) {
    const auto id = ReplicaId("i-01234567" + std::to_string(10 + at));
    counts[id] = {8, 0};
    reports.replicas[id].heard = milliseconds(1'234);
    if (at >= 50) {
      reports.replicas[id].started_ms = 1'700'000'000'000;
      reports.replicas[id].overdue = {{milliseconds(1'234), 1},
                                      {milliseconds(1'234), 2}};
    }
  }
  const auto encoded = detail::EncodeCounts(counts, reports, kMaxEntries);
  CHECK(encoded.dump().size() < kDatagramBytes);
  const auto [read_counts, read] = detail::DecodeCounts(encoded);
  for (auto at = 50; at < 60; ++at) {
    CHECK(read.replicas.at(ReplicaId("i-01234567" + std::to_string(10 + at)))
              .overdue.size() == 2);
  }
}

// Guards against times of a faulty node that overflow, and against a malformed
// entry that is read as another one.
TEST_CASE("CountsCodec.LimitsWhatAnotherNodeSays") {
  const auto [counts, reports] = detail::DecodeCounts(
      json::parse(R"([["r1", 1, 0, 9223372036854775807, 0, 0, -5, 9, 7]])"));
  const auto& report = reports.replicas.at(ReplicaId("r1"));
  CHECK(report.heard == std::chrono::hours(1));
  CHECK(report.overdue ==
        std::vector<OverdueRequest>{{std::chrono::seconds(0), 2}});
  CHECK_THROWS_AS(detail::DecodeCounts(json::parse(R"([["r1", 1]])")),
                  json::exception);
  CHECK_THROWS_AS(detail::DecodeCounts(json::parse(R"([["r1", 1, 0, "x"]])")),
                  json::exception);
}

}  // namespace
}  // namespace kumquatgauge::serving
