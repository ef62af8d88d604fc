#include "testing/support/execution_log.h"

#include <chrono>
#include <stdexcept>
#include <utility>

namespace kumquatgauge::testing {
namespace {

auto NowMs() -> std::int64_t {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

ExecutionLog::ExecutionLog(const std::string& path) {
  if (path.empty()) {
    return;
  }
  file_.open(path, std::ios::app);
  if (!file_) {
    throw std::runtime_error("cannot open record file: " + path);
  }
}

auto ExecutionLog::Begin(nlohmann::json fields) -> std::uint64_t {
  const auto seq = next_seq_++;
  fields["seq"] = seq;
  fields["start_ms"] = NowMs();
  Append(fields, "start");
  records_.push_back(std::move(fields));
  if (records_.size() > kMaxKept) {
    records_.pop_front();
  }
  return seq;
}

auto ExecutionLog::End(std::uint64_t seq,
                       const std::string& outcome,
                       const nlohmann::json& fields) -> void {
  const auto oldest = next_seq_ - records_.size();
  if (seq < oldest) {
    return;
  }
  auto& record = records_[seq - oldest];
  record.update(fields);
  record["end_ms"] = NowMs();
  record["outcome"] = outcome;
  Append(record, "end");
}

auto ExecutionLog::executions() const -> nlohmann::json {
  return nlohmann::json(records_);
}

// Flushed line by line: a fake may be killed at any moment.
auto ExecutionLog::Append(const nlohmann::json& record, const char* event)
    -> void {
  if (!file_.is_open()) {
    return;
  }
  auto line = record;
  line["event"] = event;
  file_ << line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)
        << '\n'
        << std::flush;
}

}  // namespace kumquatgauge::testing
