#include "serving/start_report_codec.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace kumquatgauge::serving::detail {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr std::size_t kFieldsWithLimit = 4;

}  // namespace

auto EncodeStartReports(const std::vector<StartReport>& reports) -> json {
  auto encoded = json::array();
  for (const auto& report : reports) {
    json entry = {report.replica.value(), report.starts};
    if (report.named) {
      entry.push_back(
          std::chrono::ceil<milliseconds>(report.named->age).count());
      entry.push_back(report.named->limit ? json(*report.named->limit)
                                          : json());
    }
    encoded.push_back(std::move(entry));
  }
  return encoded;
}

auto DecodeStartReports(const json& encoded) -> std::vector<StartReport> {
  auto reports = std::vector<StartReport>();
  for (const auto& entry : encoded) {
    auto report = StartReport();
    report.replica = ReplicaId(entry.at(0).get<std::string>());
    report.starts = entry.at(1).get<std::uint64_t>();
    if (entry.size() >= kFieldsWithLimit) {
      auto named = StartReport::Named();
      const auto age = entry.at(2).get<std::int64_t>();
      named.age = milliseconds(std::max<std::int64_t>(0, age));
      const auto& limit = entry.at(3);
      if (!limit.is_null()) {
        named.limit = std::max(0.0, limit.get<double>());
      }
      report.named = named;
    }
    reports.push_back(std::move(report));
  }
  return reports;
}

}  // namespace kumquatgauge::serving::detail
