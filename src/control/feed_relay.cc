#include "kumquatgauge/control/feed_relay.h"

#include <algorithm>
#include <utility>

namespace kumquatgauge::control {

FeedRelay::FeedRelay(std::vector<std::string> feeds,
                     std::function<auto()->std::vector<routing::NodeInfo>> live,
                     Clock clock,
                     RandomSource random)
    : live_(std::move(live)),
      clock_(std::move(clock)),
      random_(std::move(random)) {
  for (auto& name : feeds) {
    feeds_[std::move(name)].applied_at = clock_();
  }
}

auto FeedRelay::OnApplied(const std::string& name, std::uint64_t revision)
    -> FeedActions {
  FeedActions actions;
  const auto found = feeds_.find(name);
  if (found == feeds_.end() || revision <= found->second.revision) {
    return actions;
  }
  auto& feed = found->second;
  feed.revision = revision;
  feed.applied_at = clock_();
  feed.retry_delay = kFeedRetryDelay;
  std::erase_if(feed.holders,
                [&](const auto& item) { return item.second <= revision; });
  Announce(name, feed, actions);
  return actions;
}

auto FeedRelay::Announce(const std::string& name,
                         Feed& feed,
                         FeedActions& actions) -> void {
  auto peers = PickPeers(kFeedNoticeFanout);
  feed.announced = !peers.empty();
  for (auto& address : peers) {
    actions.notices.push_back({std::move(address), name, feed.revision});
  }
}

auto FeedRelay::OnMembersChanged() -> FeedActions {
  FeedActions actions;
  for (auto& [name, feed] : feeds_) {
    if (!feed.announced) {
      Announce(name, feed, actions);
    }
  }
  return actions;
}

auto FeedRelay::OnPeerRevisions(const std::string& address,
                                const FeedRevisions& revisions) -> FeedActions {
  FeedActions actions;
  for (const auto& [name, revision] : revisions) {
    const auto found = feeds_.find(name);
    if (found == feeds_.end() || revision <= found->second.revision) {
      continue;
    }
    auto& feed = found->second;
    feed.highest_known = std::max(feed.highest_known, revision);
    feed.holders[address] = revision;
    if (feed.pulling_from.empty()) {
      StartPull(name, feed, address, actions);
    }
  }
  return actions;
}

auto FeedRelay::StartPull(const std::string& name,
                          Feed& feed,
                          const std::string& address,
                          FeedActions& actions) -> void {
  feed.pulling_from = address;
  feed.pull_id = ++last_pull_;
  feed.pull_deadline = clock_() + kFeedPullTimeout;
  actions.pulls.push_back({address, name, feed.revision, feed.pull_id});
}

auto FeedRelay::PullFromHolder(const std::string& name,
                               Feed& feed,
                               FeedActions& actions) -> bool {
  if (feed.holders.empty()) {
    return false;
  }
  const auto chosen =
      std::next(feed.holders.begin(),
                static_cast<std::ptrdiff_t>(random_() % feed.holders.size()));
  StartPull(name, feed, chosen->first, actions);
  return true;
}

auto FeedRelay::EndPull(const std::string& name,
                        Feed& feed,
                        FeedActions& actions) -> void {
  feed.pulling_from.clear();
  if (feed.revision >= feed.highest_known ||
      PullFromHolder(name, feed, actions)) {
    return;
  }
  feed.retry_at = clock_() + feed.retry_delay;
  feed.retry_delay = std::min(feed.retry_delay * 2, kMaxFeedRetryDelay);
}

auto FeedRelay::OnPulled(const std::string& name, std::uint64_t id)
    -> FeedActions {
  FeedActions actions;
  const auto found = feeds_.find(name);
  if (found == feeds_.end() || found->second.pull_id != id ||
      found->second.pulling_from.empty()) {
    return actions;
  }
  auto& feed = found->second;
  // The peer did not deliver the revision that it announced. It is asked again
  // only after it announces one again.
  feed.holders.erase(feed.pulling_from);
  EndPull(name, feed, actions);
  return actions;
}

auto FeedRelay::OnPullFailed(const std::string& name, std::uint64_t id)
    -> FeedActions {
  return OnPulled(name, id);
}

auto FeedRelay::OnTick() -> FeedActions {
  FeedActions actions;
  const auto now = clock_();
  for (auto& [name, feed] : feeds_) {
    if (!feed.pulling_from.empty()) {
      if (now >= feed.pull_deadline) {
        feed.holders.erase(feed.pulling_from);
        EndPull(name, feed, actions);
      }
    } else if (feed.revision < feed.highest_known && now >= feed.retry_at &&
               !PullFromHolder(name, feed, actions)) {
      const auto peers = PickPeers(1);
      if (peers.empty()) {
        feed.retry_at = now + feed.retry_delay;
      } else {
        StartPull(name, feed, peers.front(), actions);
      }
    }
  }
  return actions;
}

auto FeedRelay::Accepts(const std::string& name, std::uint64_t revision) const
    -> bool {
  const auto found = feeds_.find(name);
  return found != feeds_.end() && revision > found->second.revision;
}

auto FeedRelay::revisions() const -> FeedRevisions {
  FeedRevisions result;
  for (const auto& [name, feed] : feeds_) {
    result[name] = feed.revision;
  }
  return result;
}

auto FeedRelay::Explain(const std::string& name) const -> std::string {
  const auto found = feeds_.find(name);
  if (found == feeds_.end()) {
    return "feed " + name + " is not known here";
  }
  const auto& feed = found->second;
  const auto age = std::chrono::duration_cast<std::chrono::seconds>(
      clock_() - feed.applied_at);
  auto text = "feed " + name + " is at revision " +
              std::to_string(feed.revision) + ", applied " +
              std::to_string(age.count()) + " s ago";
  if (feed.highest_known > feed.revision) {
    text +=
        "; revision " + std::to_string(feed.highest_known) +
        " is known of and " +
        (feed.pulling_from.empty() ? "no node that has it answers"
                                   : "being pulled from " + feed.pulling_from);
  }
  return text;
}

auto FeedRelay::PickPeers(std::size_t count) -> std::vector<std::string> {
  auto nodes = live_();
  std::vector<std::string> picked;
  while (picked.size() < count && !nodes.empty()) {
    const auto chosen = random_() % nodes.size();
    picked.push_back(std::move(nodes[chosen].node_address));
    nodes[chosen] = std::move(nodes.back());
    nodes.pop_back();
  }
  return picked;
}

}  // namespace kumquatgauge::control
