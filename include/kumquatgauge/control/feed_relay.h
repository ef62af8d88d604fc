#ifndef KUMQUATGAUGE_CONTROL_FEED_RELAY_H_
#define KUMQUATGAUGE_CONTROL_FEED_RELAY_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "kumquatgauge/base/time.h"
#include "kumquatgauge/routing/replica.h"

namespace kumquatgauge::control {

inline constexpr std::size_t kFeedNoticeFanout = 4;
// A pull that has not ended after this is repeated at another node.
inline constexpr std::chrono::milliseconds kFeedPullTimeout{1500};
// Delay before the next pull when no node is known to have the revision;
// doubles up to the maximum.
inline constexpr std::chrono::milliseconds kFeedRetryDelay{250};
inline constexpr std::chrono::milliseconds kMaxFeedRetryDelay{4000};

using FeedRevisions = std::map<std::string, std::uint64_t>;

struct FeedActions {
  // Tell the node at `address` this node's revision.
  struct Notice {
    std::string address;
    std::string feed;
    std::uint64_t revision = 0;

    auto operator==(const Notice&) const -> bool = default;
  };
  // Ask the node at `address` for the changes after `since`. Report the end by
  // OnPulled or OnPullFailed with the same id.
  struct Pull {
    std::string address;
    std::string feed;
    std::uint64_t since = 0;
    std::uint64_t id = 0;

    auto operator==(const Pull&) const -> bool = default;
  };

  std::vector<Notice> notices;
  std::vector<Pull> pulls;
};

// Decides how revisions of named feeds spread from node to node
// (docs/design.md, section 10). The content of a feed is kept by its owner,
// which reports each revision it applied.
class FeedRelay {
 public:
  // `live` gives the other live nodes.
  FeedRelay(std::vector<std::string> feeds,
            std::function<auto()->std::vector<routing::NodeInfo>> live,
            Clock clock,
            RandomSource random);

  // The owner has applied `revision`, from the platform or from a peer.
  auto OnApplied(const std::string& feed, std::uint64_t revision)
      -> FeedActions;
  // The node at `address` has these revisions. Unknown feeds are ignored.
  auto OnPeerRevisions(const std::string& address,
                       const FeedRevisions& revisions) -> FeedActions;
  // The pull ended and the owner has applied what it brought, if anything.
  auto OnPulled(const std::string& feed, std::uint64_t id) -> FeedActions;
  auto OnPullFailed(const std::string& feed, std::uint64_t id) -> FeedActions;
  auto OnTick() -> FeedActions;

  // Whether the owner may apply a revision that a peer sent: only a higher one.
  auto Accepts(const std::string& feed, std::uint64_t revision) const -> bool;
  auto revisions() const -> FeedRevisions;
  // How far this node is, in a sentence for operators.
  auto Explain(const std::string& feed) const -> std::string;

 private:
  struct Feed {
    std::uint64_t revision = 0;
    MonotonicTime applied_at;
    std::uint64_t highest_known = 0;  // Highest revision heard of.
    // Nodes that said they have more than `revision`.
    std::map<std::string, std::uint64_t> holders;
    std::string pulling_from;  // Empty: no pull under way.
    std::uint64_t pull_id = 0;
    MonotonicTime pull_deadline;
    MonotonicTime retry_at;
    std::chrono::milliseconds retry_delay = kFeedRetryDelay;
  };

  auto StartPull(const std::string& name,
                 Feed& feed,
                 const std::string& address,
                 FeedActions& actions) -> void;
  auto PullFromHolder(const std::string& name, Feed& feed, FeedActions& actions)
      -> bool;
  auto EndPull(const std::string& name, Feed& feed, FeedActions& actions)
      -> void;
  auto PickPeers(std::size_t count) -> std::vector<std::string>;

  std::map<std::string, Feed> feeds_;
  std::function<auto()->std::vector<routing::NodeInfo>> live_;
  Clock clock_;
  RandomSource random_;
  std::uint64_t last_pull_ = 0;
};

}  // namespace kumquatgauge::control

#endif  // KUMQUATGAUGE_CONTROL_FEED_RELAY_H_
