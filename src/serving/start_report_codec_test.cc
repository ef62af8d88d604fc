#include "serving/start_report_codec.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

namespace kumquatgauge::serving {
namespace {

using std::chrono::milliseconds;

TEST_CASE("StartReportCodec.KeepsEveryKindOfReport") {
  const auto reports = std::vector{
      StartReport{ReplicaId("r1"), 7, std::nullopt},
      StartReport{ReplicaId("r2"), 0,
                  StartReport::Named{2.5, milliseconds(12)}},
      StartReport{ReplicaId("r3"), 3,
                  StartReport::Named{std::nullopt, milliseconds(900)}}};
  const auto text = detail::EncodeStartReports(reports).dump();
  CHECK(detail::DecodeStartReports(nlohmann::json::parse(text)) == reports);
}

// Guards against a limit below zero and an answer from the future.
TEST_CASE("StartReportCodec.LimitsWhatAnotherNodeSays") {
  const auto reports =
      detail::DecodeStartReports(nlohmann::json::parse(R"([["r1",1,-5,-2]])"));
  REQUIRE(reports.size() == 1);
  CHECK(reports.front().named ==
        StartReport::Named{0.0, std::chrono::seconds(0)});
  CHECK_THROWS_AS(
      detail::DecodeStartReports(nlohmann::json::parse(R"([["r1"]])")),
      nlohmann::json::exception);
}

// Guards against datagrams that are fragmented and so lost more often.
TEST_CASE("StartReportCodec.FitsADatagramWithManyReports") {
  constexpr std::size_t kReports = 25;
  constexpr std::size_t kDatagramBytes = 1'400;
  auto reports = std::vector<StartReport>();
  for (std::size_t at = 0; at < kReports; ++at) {
    reports.push_back({ReplicaId("i-0123456789"), 1'000'000,
                       StartReport::Named{123.25, milliseconds(123'456)}});
  }
  CHECK(detail::EncodeStartReports(reports).dump().size() < kDatagramBytes);
}

}  // namespace
}  // namespace kumquatgauge::serving
