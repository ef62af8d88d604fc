#include "serving/suspect_report_codec.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <utility>

namespace kumquatgauge::serving::detail {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

// In place of the position in the prompt, for a whole request.
constexpr std::int64_t kWholeRequest = -1;
// Fields of an entry: value, position, crashes, and the age of the answer, if
// any.
constexpr std::size_t kFieldsWithAnswer = 4;

auto ReadAge(const json& age) -> Duration {
  return milliseconds(std::max<std::int64_t>(0, age.get<std::int64_t>()));
}

}  // namespace

auto EncodeReports(const std::vector<SuspectReport>& reports) -> json {
  auto encoded = json::array();
  for (const auto& report : reports) {
    auto crashes = json::array();
    for (const auto& crash : report.crashes) {
      crashes.push_back(
          {crash.replica, std::chrono::ceil<milliseconds>(crash.age).count()});
    }
    json entry = {
        report.trait.value,
        report.trait.whole_request() ? json(kWholeRequest) : json(report.depth),
        std::move(crashes)};
    if (report.answered_age) {
      entry.push_back(
          std::chrono::floor<milliseconds>(*report.answered_age).count());
    }
    encoded.push_back(std::move(entry));
  }
  return encoded;
}

auto DecodeReports(const json& encoded) -> std::vector<SuspectReport> {
  auto reports = std::vector<SuspectReport>();
  for (const auto& entry : encoded) {
    auto report = SuspectReport();
    report.trait.value = entry.at(0).get<std::uint64_t>();
    if (entry.at(1).get<std::int64_t>() == kWholeRequest) {
      report.trait.kind = RequestTrait::Kind::kWholeRequest;
    } else {
      report.depth = entry.at(1).get<std::size_t>();
    }
    for (const auto& crash : entry.at(2)) {
      report.crashes.push_back(
          {crash.at(0).get<std::uint64_t>(), ReadAge(crash.at(1))});
    }
    if (entry.size() >= kFieldsWithAnswer) {
      report.answered_age = ReadAge(entry.at(3));
    }
    reports.push_back(std::move(report));
  }
  return reports;
}

}  // namespace kumquatgauge::serving::detail
