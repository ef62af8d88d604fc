#include "kumquatgauge/serving/configuration_freshness.h"

#include <algorithm>
#include <utility>

#include "kumquatgauge/serving/watcher_choice.h"

namespace kumquatgauge::serving {
namespace {

using std::chrono::milliseconds;

// The intervals below are for this age limit and longer ones; they are shorter
// in proportion for a shorter limit.
constexpr milliseconds kReferenceLimit{4'750};
constexpr milliseconds kQueryInterval{500};
// While there is no statement yet, so that a node that has started serves soon.
constexpr milliseconds kFirstQueryInterval{100};
// How much older its own statement must be for a node to ask one that has asked
// it, and the minimum interval between such queries. Without them the result
// of a node that does not watch the store spreads so slowly that others become
// stale when all watchers have lost the store.
constexpr milliseconds kReturnQueryAge{500};
constexpr milliseconds kReturnQueryInterval{50};
// The age at which the first watcher reads the store, and the time by which
// each further one reads later.
constexpr milliseconds kFirstReadAge{1'200};
constexpr milliseconds kReadAgeStep{200};
// The age at which any node reads the store. The delay keeps the nodes from
// reading at the same time.
constexpr milliseconds kOtherReadAge{2'500};
constexpr milliseconds kOtherReadDelay{500};
constexpr milliseconds kStartReadDelay{300};
// How long before a read the watchers that read earlier are asked for their
// statement, in case the datagrams that follow each read were lost. Without
// either, the nodes together read twice as often.
constexpr milliseconds kLastQueryLead{100};
// Pause after a read without a usable result. For nodes that do not watch the
// store it grows with the number of nodes, so that all of them together read
// at most about 50 times a second while the store fails.
constexpr milliseconds kWatcherRetryDelay{500};
constexpr milliseconds kOtherRetryDelay{1'000};
constexpr milliseconds kRetryDelayPerNode{20};
// Bounds the reads if one took so long that its result is old already.
constexpr milliseconds kMinReadInterval{200};
constexpr milliseconds kTick{50};
constexpr milliseconds kMinTick{10};
// Statements of versions that never arrive must not pile up.
constexpr std::size_t kMaxWaiting = 16;
// An answer with a greater age is useless; the bound avoids an overflow.
constexpr std::chrono::hours kMaxPlausibleAge{24};

}  // namespace

ConfigurationFreshness::ConfigurationFreshness(NodeId self,
                                               Duration max_age,
                                               Clock clock,
                                               RandomSource random)
    : self_(std::move(self)),
      limit_(max_age - kConfigurationAgeMargin),
      clock_(std::move(clock)),
      random_(std::move(random)),
      started_(clock_()),
      next_query_(started_),
      next_read_(started_) {
  read_delay_ = DrawDelay(Scaled(kOtherReadDelay));
}

auto ConfigurationFreshness::OnApplied(std::uint64_t version) -> void {
  applied_ = version;
  applied_at_ = clock_();
  while (!waiting_.empty() && waiting_.begin()->first <= version) {
    const auto [known, time] = *waiting_.begin();
    waiting_.erase(waiting_.begin());
    UseStatement(known, time);
  }
}

auto ConfigurationFreshness::OnStatement(std::uint64_t version,
                                         MonotonicTime time) -> bool {
  if (version < applied_ && time > applied_at_) {
    return false;
  }
  if (version <= applied_) {
    UseStatement(version, time);
    return true;
  }
  auto& known = waiting_.try_emplace(version, time).first->second;
  known = std::max(known, time);
  if (waiting_.size() > kMaxWaiting) {
    waiting_.erase(std::prev(waiting_.end()));
  }
  return true;
}

auto ConfigurationFreshness::UseStatement(std::uint64_t version,
                                          MonotonicTime time) -> void {
  if (version_ && time <= since_) {
    return;
  }
  version_ = version;
  since_ = time;
  asked_before_read_ = false;
  read_delay_ = DrawDelay(Scaled(kOtherReadDelay));
}

auto ConfigurationFreshness::age() const -> std::optional<Duration> {
  return version_ ? std::optional(clock_() - since_) : std::nullopt;
}

auto ConfigurationFreshness::IsFresh() const -> bool {
  const auto known = age();
  return known && *known <= limit_;
}

auto ConfigurationFreshness::statement() const
    -> std::optional<FreshnessStatement> {
  return version_
             ? std::optional(FreshnessStatement{*version_, clock_() - since_})
             : std::nullopt;
}

auto ConfigurationFreshness::IsQueryDue() const -> bool {
  return clock_() >= next_query_ || announces_read_ || IsLastQueryDue();
}

// Whether the nodes that read earlier must be asked before this one reads.
auto ConfigurationFreshness::IsLastQueryDue() const -> bool {
  const auto known = age();
  return known && !asked_before_read_ &&
         *known >= ReadAge() - Scaled(kLastQueryLead);
}

auto ConfigurationFreshness::TakeQueries(
    const std::vector<routing::NodeInfo>& live) -> std::vector<FreshnessQuery> {
  const auto now = clock_();
  const auto watchers = ChooseWatchers(live);
  SetRole(watchers, live.size());
  std::erase_if(queries_, [&](const auto& query) {
    return now - query.second > limit_;  // An answer would be too old.
  });
  auto others = std::vector<const routing::NodeInfo*>();
  auto watching = std::vector<const routing::NodeInfo*>();
  auto earlier = std::vector<const routing::NodeInfo*>();
  for (const auto& node : live) {
    if (node.id == self_ || node.node_address.empty()) {
      continue;
    }
    const auto place = std::find(watchers.begin(), watchers.end(), node.id);
    if (place == watchers.end()) {
      others.push_back(&node);
      continue;
    }
    watching.push_back(&node);
    if (!watcher_ ||
        static_cast<std::size_t>(place - watchers.begin()) < *watcher_) {
      earlier.push_back(&node);
    }
  }
  auto chosen = std::vector<const routing::NodeInfo*>();
  if (IsLastQueryDue()) {
    asked_before_read_ = true;
    chosen = std::move(earlier);
  }
  if (std::exchange(announces_read_, false)) {
    chosen = watching;
  }
  if (now >= next_query_) {
    next_query_ = now + Scaled(version_ ? kQueryInterval : kFirstQueryInterval);
    const auto take = [&](std::vector<const routing::NodeInfo*>& nodes) {
      if (!nodes.empty()) {
        const auto at = nodes.begin() +
                        static_cast<std::ptrdiff_t>(random_() % nodes.size());
        chosen.push_back(*at);
        nodes.erase(at);
      }
    };
    take(watching);
    others.insert(others.end(), watching.begin(), watching.end());
    take(others);
  }
  auto queries = std::vector<FreshnessQuery>();
  for (const auto* node : chosen) {
    queries.push_back(MakeQuery(node->node_address));
  }
  return queries;
}

auto ConfigurationFreshness::MakeQuery(const std::string& address)
    -> FreshnessQuery {
  const auto nonce = random_();
  queries_[nonce] = clock_();
  return {address, nonce};
}

auto ConfigurationFreshness::OnQuery(const std::string& address, Duration age)
    -> std::optional<FreshnessQuery> {
  const auto now = clock_();
  const auto is_older =
      !version_ || now - since_ > age + Scaled(kReturnQueryAge);
  if (!is_older || age > limit_ || now < next_return_query_) {
    return std::nullopt;
  }
  next_return_query_ = now + Scaled(kReturnQueryInterval);
  return MakeQuery(address);
}

auto ConfigurationFreshness::SetRole(const std::vector<NodeId>& watchers,
                                     std::size_t nodes) -> void {
  nodes_ = nodes;
  const auto place = std::find(watchers.begin(), watchers.end(), self_);
  watcher_.reset();
  if (place != watchers.end()) {
    watcher_ = static_cast<std::size_t>(place - watchers.begin());
  }
}

auto ConfigurationFreshness::OnAnswer(std::uint64_t nonce,
                                      const FreshnessStatement& answer)
    -> bool {
  const auto query = queries_.find(nonce);
  // A negative age would lie in the future.
  if (query == queries_.end() || answer.age < Duration::zero() ||
      answer.age > kMaxPlausibleAge) {
    return false;
  }
  // The answer was true after the query was sent.
  const auto time = query->second - answer.age;
  queries_.erase(query);
  return OnStatement(answer.version, time);
}

auto ConfigurationFreshness::IsReadDue() const -> bool {
  const auto now = clock_();
  if (reading_ || now < next_read_) {
    return false;
  }
  const auto known = age();
  return known ? *known >= ReadAge()
               : now - started_ >= Scaled(kStartReadDelay);
}

auto ConfigurationFreshness::ReadAge() const -> Duration {
  const auto other = Scaled(kOtherReadAge) + read_delay_;
  if (!watcher_) {
    return other;
  }
  const auto own =
      kFirstReadAge + kReadAgeStep * static_cast<std::int64_t>(*watcher_);
  return std::min(Scaled(own), other);
}

auto ConfigurationFreshness::OnReadBegun() -> void {
  reading_ = true;
}

auto ConfigurationFreshness::OnReadEnded(bool counted) -> void {
  reading_ = false;
  if (counted) {
    announces_read_ = true;
    next_read_ = clock_() + Scaled(kMinReadInterval);
    return;
  }
  const auto pause =
      watcher_ ? Duration(kWatcherRetryDelay)
               : Duration(std::max(
                     kOtherRetryDelay,
                     kRetryDelayPerNode * static_cast<std::int64_t>(nodes_)));
  // Between half and one and a half times the pause.
  next_read_ = clock_() + Scaled(pause / 2) + DrawDelay(Scaled(pause));
}

auto ConfigurationFreshness::tick() const -> Duration {
  return std::max<Duration>(kMinTick, Scaled(kTick));
}

auto ConfigurationFreshness::Scaled(Duration duration) const -> Duration {
  const auto share =
      std::min(1.0, std::chrono::duration<double>(limit_) /
                        std::chrono::duration<double>(kReferenceLimit));
  return std::chrono::duration_cast<Duration>(duration * share);
}

auto ConfigurationFreshness::DrawDelay(Duration limit) -> Duration {
  const auto count = static_cast<std::uint64_t>(limit.count());
  return Duration(static_cast<Duration::rep>(random_() % (count + 1)));
}

}  // namespace kumquatgauge::serving
