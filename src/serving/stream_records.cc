#include "kumquatgauge/serving/stream_records.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <utility>

#include "kumquatgauge/base/error.h"

namespace kumquatgauge::serving {
namespace {

using nlohmann::json;

}  // namespace

auto StreamRecords::Add(const StreamRecord& record) -> void {
  records_.emplace_back(clock_(), record);
  ++new_records_;
  changed_ = true;
  if (records_.size() > kMaxStoredRecords) {
    records_.pop_front();
  }
}

auto StreamRecords::AddStored(const std::vector<StreamRecord>& records)
    -> void {
  for (const auto& record : records) {
    records_.emplace_front(clock_(), record);
  }
}

auto StreamRecords::RemoveExpired() -> void {
  const auto oldest = clock_() - kStoredRecordTime;
  while (!records_.empty() && records_.front().first < oldest) {
    records_.pop_front();
  }
}

auto StreamRecords::Take() -> std::vector<StreamRecord> {
  new_records_ = records_.size();
  return TakeNew();
}

auto StreamRecords::TakeNew() -> std::vector<StreamRecord> {
  RemoveExpired();
  changed_ = false;
  const auto count = std::min(std::exchange(new_records_, 0), records_.size());
  auto records = std::vector<StreamRecord>();
  records.reserve(count);
  for (auto at = records_.size() - count; at < records_.size(); ++at) {
    records.push_back(records_[at].second);
  }
  return records;
}

auto RecordsKey(const NodeId& node) -> std::string {
  return kRecordsPrefix + node.value();
}

auto EncodeRecords(const std::vector<StreamRecord>& records) -> std::string {
  auto by_origin =
      std::map<std::pair<std::string, std::string>, std::vector<StreamKey>>();
  for (const auto& record : records) {
    by_origin[{record.origin.service.value(), record.origin.version}].push_back(
        record.stream);
  }
  auto groups = json::array();
  for (const auto& [origin, streams] : by_origin) {
    groups.push_back({origin.first, origin.second, streams});
  }
  return json{{"streams", std::move(groups)}}.dump();
}

auto DecodeRecords(const std::string& key, const std::string& value)
    -> std::vector<StreamRecord> {
  try {
    auto records = std::vector<StreamRecord>();
    const auto object = json::parse(value);
    for (const auto& group : object.at("streams")) {
      const auto origin =
          StreamOrigin{ServiceName(group.at(0).get<std::string>()),
                       group.at(1).get<std::string>()};
      for (const auto& stream : group.at(2)) {
        records.push_back({stream.get<StreamKey>(), origin});
      }
    }
    return records;
  } catch (const json::exception& error) {
    throw Error(
        ErrorKind::kInvalidArgument,
        std::string("unreadable records of streams (") + error.what() + ")",
        key, "remove the object; another program wrote it");
  }
}

}  // namespace kumquatgauge::serving
