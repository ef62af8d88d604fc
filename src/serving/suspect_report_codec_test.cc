#include "serving/suspect_report_codec.h"

#include <catch2/catch.hpp>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <string>

#include "kumquatgauge/node/datagram_socket.h"

namespace kumquatgauge::serving::detail {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr auto kLargest = std::numeric_limits<std::uint64_t>::max();

TEST_CASE("SuspectReportCodec.ReturnsWhatItEncoded") {
  auto report = SuspectReport();
  report.trait.value = kLargest;
  report.depth = 2;
  report.crashes = {{7, milliseconds(40)}, {kLargest, milliseconds(0)}};
  auto answered = SuspectReport();
  answered.trait.value = 3;
  answered.answered_age = milliseconds(1'500);
  auto request = SuspectReport();
  request.trait = {RequestTrait::Kind::kWholeRequest, kLargest};
  const auto reports = std::vector{report, answered, request};
  CHECK(DecodeReports(EncodeReports(reports)) == reports);
}

// Guards against rounding by which an answer no longer clears the crash before
// it.
TEST_CASE("SuspectReportCodec.RoundsInFavourOfAnswers") {
  auto report = SuspectReport();
  report.crashes = {{7, std::chrono::microseconds(1'500)}};
  report.answered_age = std::chrono::microseconds(1'500);
  const auto decoded = DecodeReports(EncodeReports({report}));
  CHECK(decoded.front().crashes.front().age == milliseconds(2));
  CHECK(decoded.front().answered_age == milliseconds(1));
}

// Guards against reports that are not sent, because they do not fit in a
// datagram when many replicas have ended.
TEST_CASE("SuspectReportCodec.FitsTheLargestReportInADatagram") {
  constexpr std::size_t kRest = 200;  // Header, checksum and the node's name.
  const auto settings = RequestQuarantineSettings();
  auto report = SuspectReport();
  report.trait.value = kLargest;
  report.depth = 63;
  report.crashes.assign(settings.max_crashes, {kLargest, settings.forget_time});
  report.answered_age = settings.answered_memory;
  const auto reports = std::vector(settings.max_report, report);
  auto bytes = std::string();
  json::to_msgpack(EncodeReports(reports), bytes);
  CHECK(bytes.size() + kRest <= node::kMaxDatagramBytes);
}

// Guards against a node that ends because of a malformed datagram.
TEST_CASE("SuspectReportCodec.ThrowsForMalformedReports") {
  for (const auto* text :
       {"[1]", "[[1]]", R"([["a",0,[]]])", "[[1,0,[[2]]]]", "[[1,0,[],[]]]"}) {
    CAPTURE(text);
    CHECK_THROWS_AS(DecodeReports(json::parse(text)), json::exception);
  }
}

}  // namespace
}  // namespace kumquatgauge::serving::detail
