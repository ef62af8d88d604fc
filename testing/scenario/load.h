#ifndef TESTING_SCENARIO_LOAD_H_
#define TESTING_SCENARIO_LOAD_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace kumquatgauge::testing {

enum class LoadKind { kCompletions, kPayments };

struct LoadSpec {
  std::string name;
  LoadKind kind = LoadKind::kCompletions;
  std::size_t count = 10;
  double rate = 10.0;  // Requests per second.
  std::size_t tokens = 16;
  std::string organisation = "scenario";
  std::chrono::milliseconds deadline{10'000};
  // Payments: how often each is sent again, to another node.
  std::size_t resends = 1;
  bool ticket = true;
};

// Sends requests at a fixed rate from callers that behave as documented: they
// ask a node for addresses, connect to the first, retry after Retry-After when
// told "not run", and ask again when a connection is refused.
class Load {
 public:
  // `entry_nodes` are the addresses of the nodes that are asked for addresses.
  Load(LoadSpec spec, std::vector<std::string> entry_nodes);
  ~Load();
  Load(const Load&) = delete;
  auto operator=(const Load&) -> Load& = delete;

  // Waits until every request has ended.
  auto Join() -> void;
  // Counts by outcome and latency figures, as one row.
  auto Row() const -> nlohmann::json;
  // Keys of payments whose last answer was "not run".
  auto keys_not_run() const -> std::set<std::string>;

 private:
  struct Result {
    std::string outcome;  // As reported, or "broken" or "wrong".
    double first_byte_ms = 0.0;
    double total_ms = 0.0;
    std::size_t tries = 0;
    std::string key;
    std::string detail;  // End of a response without a complete answer.
  };

  auto RunCallers() -> void;
  auto RunOne(std::size_t number) -> void;
  auto Complete(std::size_t number) -> Result;
  auto Pay(std::size_t number) -> Result;
  auto FetchAddresses(std::size_t number) const -> nlohmann::json;

  LoadSpec spec_;
  std::vector<std::string> entry_nodes_;
  mutable std::mutex mutex_;
  std::vector<Result> results_;
  std::thread thread_;
};

}  // namespace kumquatgauge::testing

#endif  // TESTING_SCENARIO_LOAD_H_
