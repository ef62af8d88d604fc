#ifndef TESTING_SUPPORT_EXECUTION_LOG_H_
#define TESTING_SUPPORT_EXECUTION_LOG_H_

#include <cstdint>
#include <deque>
#include <fstream>
#include <nlohmann/json.hpp>
#include <string>

namespace kumquatgauge::testing {

// Records what a fake has executed, for checks. Each execution has "seq",
// "start_ms" and, once it has ended, "end_ms" and "outcome"; times are in
// milliseconds since the epoch. The file gets one line with "event":"start" and
// one with "event":"end" per execution, so that it also shows interrupted ones.
class ExecutionLog {
 public:
  // The latest executions kept in memory; the file has all of them.
  static constexpr std::size_t kMaxKept = 200'000;

  // An empty path writes no file.
  explicit ExecutionLog(const std::string& path);

  auto Begin(nlohmann::json fields) -> std::uint64_t;
  auto End(std::uint64_t seq,
           const std::string& outcome,
           const nlohmann::json& fields) -> void;
  auto executions() const -> nlohmann::json;

 private:
  auto Append(const nlohmann::json& record, const char* event) -> void;

  std::ofstream file_;
  std::deque<nlohmann::json> records_;
  std::uint64_t next_seq_ = 1;
};

}  // namespace kumquatgauge::testing

#endif  // TESTING_SUPPORT_EXECUTION_LOG_H_
