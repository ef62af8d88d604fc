#ifndef KUMQUATGAUGE_SERVING_CONFIGURATION_FRESHNESS_H_
#define KUMQUATGAUGE_SERVING_CONFIGURATION_FRESHNESS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "kumquatgauge/base/ids.h"
#include "kumquatgauge/base/time.h"
#include "kumquatgauge/routing/replica.h"

namespace kumquatgauge::serving {

// Version `version` of the configuration was the newest one `age` ago or later.
struct FreshnessStatement {
  std::uint64_t version = 0;
  Duration age{0};

  auto operator==(const FreshnessStatement&) const -> bool = default;
};

// A question to another node, which answers with its own statement.
struct FreshnessQuery {
  std::string address;
  std::uint64_t nonce = 0;

  auto operator==(const FreshnessQuery&) const -> bool = default;
};

// Between the check of a request's age limit and the time by which a removed
// key must be refused: covers clocks that run at different rates.
inline constexpr std::chrono::milliseconds kConfigurationAgeMargin{250};

// Decides whether this node can show that its configuration was the newest one
// a short time ago, and when to ask the store or other nodes. All times are of
// this node's clock, which must go on while the host is suspended; the clocks
// of two hosts are never compared.
class ConfigurationFreshness {
 public:
  // A configuration may be `max_age` old, less kConfigurationAgeMargin. `clock`
  // must go on while the host is suspended.
  ConfigurationFreshness(NodeId self,
                         Duration max_age,
                         Clock clock,
                         RandomSource random);

  // Must be called when a newer version has been applied.
  auto OnApplied(std::uint64_t version) -> void;

  // Version `version` was the newest at `time` or later, such as the beginning
  // of an exact read. It counts once that version or a newer one is applied.
  // Returns whether it can count at all: a version older than the applied one
  // cannot have been the newest after that was applied.
  auto OnStatement(std::uint64_t version, MonotonicTime time) -> bool;

  // Time since the applied configuration is known to have been the newest.
  auto age() const -> std::optional<Duration>;
  auto IsFresh() const -> bool;
  // For another node's query.
  auto statement() const -> std::optional<FreshnessStatement>;

  // Returns the queries that are due now; each must be sent at once.
  auto TakeQueries(const std::vector<routing::NodeInfo>& live)
      -> std::vector<FreshnessQuery>;
  auto IsQueryDue() const -> bool;
  // Takes the age that another node named in its query. Returns a query to that
  // node if it knows much more recent news.
  auto OnQuery(const std::string& address, Duration age)
      -> std::optional<FreshnessQuery>;
  // Takes an answer. Returns whether it belongs to a query that waits for one,
  // was plausible and can count.
  auto OnAnswer(std::uint64_t nonce, const FreshnessStatement& answer) -> bool;

  // Whether to read the store now. OnReadBegun and OnReadEnded must follow.
  auto IsReadDue() const -> bool;
  auto OnReadBegun() -> void;
  // `counted` is the result of OnStatement; false after a failure.
  auto OnReadEnded(bool counted) -> void;

  // Interval at which queries and reads should be checked.
  auto tick() const -> Duration;

 private:
  auto Scaled(Duration duration) const -> Duration;
  auto ReadAge() const -> Duration;
  auto IsLastQueryDue() const -> bool;
  auto SetRole(const std::vector<NodeId>& watchers, std::size_t nodes) -> void;
  auto UseStatement(std::uint64_t version, MonotonicTime time) -> void;
  auto MakeQuery(const std::string& address) -> FreshnessQuery;
  auto DrawDelay(Duration limit) -> Duration;

  NodeId self_;
  Duration limit_;
  Clock clock_;
  RandomSource random_;

  std::uint64_t applied_ = 0;
  MonotonicTime applied_at_;
  MonotonicTime started_;
  // The newest statement about the applied version or an older one.
  std::optional<std::uint64_t> version_;
  MonotonicTime since_;
  // Times of statements about newer versions.
  std::map<std::uint64_t, MonotonicTime> waiting_;

  std::map<std::uint64_t, MonotonicTime> queries_;  // Time sent, by nonce.
  MonotonicTime next_query_;
  // Before a read the nodes that read earlier are asked once more.
  bool asked_before_read_ = false;
  // The watchers are asked after a read, so that they learn of its age and ask
  // in turn.
  bool announces_read_ = false;
  MonotonicTime next_return_query_;

  // Position among the watchers of the store; empty for other nodes.
  std::optional<std::size_t> watcher_;
  std::size_t nodes_ = 1;
  bool reading_ = false;
  MonotonicTime next_read_;
  Duration read_delay_{0};
};

}  // namespace kumquatgauge::serving

#endif  // KUMQUATGAUGE_SERVING_CONFIGURATION_FRESHNESS_H_
