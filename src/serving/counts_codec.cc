#include "serving/counts_codec.h"

#include <algorithm>
#include <chrono>

namespace kumquatgauge::serving::detail {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

// Positions in an entry.
constexpr std::size_t kHeard = 3;
constexpr std::size_t kStarted = 4;
constexpr std::size_t kProbing = 5;
constexpr std::size_t kFirstOverdue = 6;
constexpr std::int64_t kMaxAgeMs = 3'600'000;
constexpr std::uint32_t kMaxWeight = 2;
// An entry with overdue requests is about twice as long as one without.
constexpr std::size_t kEvidenceEntries = 2;

auto ToMs(Duration duration) -> std::int64_t {
  return std::chrono::ceil<milliseconds>(duration).count();
}

auto ToDuration(const json& value) -> Duration {
  return milliseconds(
      std::clamp<std::int64_t>(value.get<std::int64_t>(), 0, kMaxAgeMs));
}

auto EncodeEntry(const ReplicaId& id,
                 const InFlight& in_flight,
                 const SilenceReport* report) -> json {
  json entry = {id.value(), in_flight.online, in_flight.batch};
  if (report == nullptr) {
    return entry;
  }
  entry.push_back(report->heard ? ToMs(*report->heard) : -1);
  if (report->has_evidence()) {
    entry.push_back(report->started_ms);
    entry.push_back(report->probing ? 1 : 0);
    for (const auto& request : report->overdue) {
      entry.push_back(ToMs(request.age));
      entry.push_back(request.weight);
    }
  }
  return entry;
}

auto DecodeReport(const json& entry) -> SilenceReport {
  auto report = SilenceReport();
  if (entry.at(kHeard).get<std::int64_t>() >= 0) {
    report.heard = ToDuration(entry.at(kHeard));
  }
  if (entry.size() > kProbing) {
    report.started_ms = entry.at(kStarted).get<std::uint64_t>();
    report.probing = entry.at(kProbing).get<int>() != 0;
  }
  for (auto at = kFirstOverdue; at + 1 < entry.size(); at += 2) {
    const auto weight = entry.at(at + 1).get<std::uint32_t>();
    report.overdue.push_back(
        {ToDuration(entry.at(at)), std::min(weight, kMaxWeight)});
  }
  return report;
}

}  // namespace

auto EncodeCounts(const InFlightCounts& counts,
                  const SilenceReports& reports,
                  std::size_t max_entries) -> json {
  auto encoded = json::array();
  auto room = max_entries;
  for (const auto& [id, report] : reports.replicas) {
    const auto found = counts.find(id);
    const auto counted = found != counts.end();
    if ((counted && !report.has_evidence()) || room < kEvidenceEntries) {
      continue;  // Comes with the counts.
    }
    encoded.push_back(
        EncodeEntry(id, counted ? found->second : InFlight(), &report));
    room -= kEvidenceEntries;
  }
  for (const auto& [id, in_flight] : counts) {
    if (room == 0) {
      break;  // The replicas' own load reports cover the rest.
    }
    const auto report = reports.replicas.find(id);
    const auto known = report != reports.replicas.end();
    if (!known || !report->second.has_evidence()) {
      encoded.push_back(
          EncodeEntry(id, in_flight, known ? &report->second : nullptr));
      --room;
    }
  }
  return encoded;
}

auto DecodeCounts(const json& encoded)
    -> std::pair<InFlightCounts, SilenceReports> {
  auto counts = InFlightCounts();
  auto reports = SilenceReports();
  for (const auto& entry : encoded) {
    auto in_flight = InFlight();
    in_flight.online = entry.at(1).get<std::uint32_t>();
    in_flight.batch = entry.at(2).get<std::uint32_t>();
    const auto id = ReplicaId(entry.at(0).get<std::string>());
    counts.emplace(id, in_flight);
    if (entry.size() > kHeard) {
      reports.replicas.emplace(id, DecodeReport(entry));
    }
  }
  return {std::move(counts), std::move(reports)};
}

}  // namespace kumquatgauge::serving::detail
