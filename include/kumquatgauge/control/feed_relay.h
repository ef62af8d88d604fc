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
// A pull that takes longer than this is retried at another node. Several fit in
// the 2 s within which a change must be in force everywhere.
inline constexpr std::chrono::milliseconds kFeedPullTimeout{400};
// Delay before the next pull if no node is known to have the revision. Doubles
// up to the maximum.
inline constexpr std::chrono::milliseconds kFeedRetryDelay{250};
inline constexpr std::chrono::milliseconds kMaxFeedRetryDelay{4000};

using FeedRevisions = std::map<std::string, std::uint64_t>;

struct FeedActions {
  // Sends this node's revision to the node at `address`.
  struct Notice {
    std::string address;
    std::string feed;
    std::uint64_t revision = 0;

    auto operator==(const Notice&) const -> bool = default;
  };
  // Requests the changes after `since` from the node at `address`. The caller
  // reports completion with OnPulled or OnPullFailed and the same id.
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

// Decides how revisions of named feeds propagate between nodes (docs/design.md,
// section 10). The owner of a feed holds its content and reports each revision
// that it applies.
class FeedRelay {
 public:
  // `live` returns the other live nodes.
  FeedRelay(std::vector<std::string> feeds,
            std::function<auto()->std::vector<routing::NodeInfo>> live,
            Clock clock,
            RandomSource random);

  // Called when the owner has applied `revision`, from the platform or a peer.
  auto OnApplied(const std::string& feed, std::uint64_t revision)
      -> FeedActions;
  // Called when the live nodes have changed. A node that has started applies a
  // revision before it knows others, and announces it once it does.
  auto OnMembersChanged() -> FeedActions;
  // Called when the node at `address` announces its revisions. Unknown feeds
  // are ignored.
  auto OnPeerRevisions(const std::string& address,
                       const FeedRevisions& revisions) -> FeedActions;
  // Called when a pull has ended and the owner has applied its changes, if any.
  auto OnPulled(const std::string& feed, std::uint64_t id) -> FeedActions;
  auto OnPullFailed(const std::string& feed, std::uint64_t id) -> FeedActions;
  auto OnTick() -> FeedActions;

  // Returns whether the owner may apply a revision received from a peer. Only
  // higher revisions are accepted.
  auto Accepts(const std::string& feed, std::uint64_t revision) const -> bool;
  auto revisions() const -> FeedRevisions;
  // Describes the state of the feed on this node for operators.
  auto Explain(const std::string& feed) const -> std::string;

 private:
  struct Feed {
    std::uint64_t revision = 0;
    MonotonicTime applied_at;
    bool announced = true;            // `revision`, to at least one node.
    std::uint64_t highest_known = 0;  // Highest revision announced.
    // Revisions of the nodes that announced one above `revision`.
    std::map<std::string, std::uint64_t> holders;
    std::string pulling_from;  // Empty: no pull in progress.
    std::uint64_t pull_id = 0;
    MonotonicTime pull_deadline;
    MonotonicTime retry_at;
    std::chrono::milliseconds retry_delay = kFeedRetryDelay;
  };

  auto StartPull(const std::string& name,
                 Feed& feed,
                 const std::string& address,
                 FeedActions& actions) -> void;
  auto Announce(const std::string& name, Feed& feed, FeedActions& actions)
      -> void;
  auto PullFromHolder(const std::string& name, Feed& feed, FeedActions& actions)
      -> bool;
  // Ends the current pull. If the feed is still behind, starts the next pull or
  // schedules a retry.
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
