#ifndef KUMQUATGAUGE_NODE_GOSSIP_H_
#define KUMQUATGAUGE_NODE_GOSSIP_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "kumquatgauge/base/ids.h"
#include "kumquatgauge/base/time.h"
#include "kumquatgauge/control/feed_relay.h"
#include "kumquatgauge/control/membership.h"
#include "kumquatgauge/node/datagram_socket.h"
#include "kumquatgauge/node/peer.h"
#include "kumquatgauge/routing/replica.h"

namespace kumquatgauge::node {

class PeerServer;

struct GossipSettings {
  // This node. The datagram socket is bound to `listen`, whose port is the same
  // as that of self.node_address.
  routing::NodeInfo self;
  std::string listen;
  std::string fleet_credential;
  std::vector<std::string> seeds;  // "IP:port"
  std::vector<std::string> feeds = {"config", "hosts"};
};

// All hooks are called on the control io_context; any may be empty.
struct GossipHooks {
  // Called after each change with the members that are alive or leaving,
  // including this node.
  std::function<auto(const std::vector<routing::NodeInfo>&)->void>
      members_changed;
  // Called when this node continues under a new incarnation; work of the old
  // one must stop.
  std::function<auto(Incarnation)->void> restarted;
  // Returns content that updates a node from revision `since` to the current
  // one.
  std::function<
      auto(const std::string& feed, std::uint64_t since)->nlohmann::json>
      read_feed;
  // Applies content from read_feed that leads to `revision`, which is higher
  // than the current one. Returns the revision now in use; may throw Error.
  std::function<auto(const std::string& feed,
                     std::uint64_t revision,
                     const nlohmann::json& content)
                    ->std::uint64_t>
      apply_feed;
  // Called for datagrams that are not membership messages, such as "load".
  std::function<
      auto(const nlohmann::json& message, const std::string& from)->void>
      datagram;
};

// Byte counts cover the payload of control traffic without IP and TCP headers.
// Calls include an estimate of their HTTP/2 headers.
struct GossipCounters {
  std::uint64_t sent_bytes = 0;
  std::uint64_t received_bytes = 0;
  std::uint64_t failed_syncs = 0;
  std::uint64_t failed_pulls = 0;
  std::uint64_t malformed = 0;
  DatagramCounters datagrams;
};

// Runs membership and the feed relay over datagrams and streams between nodes.
// Used on the control io_context only, which is run by one thread.
class Gossip {
 public:
  // `client` runs on the control io_context and must outlive this object.
  // Binds the datagram socket as soon as nobody else uses its address. Throws
  // Error if it cannot be bound for another reason.
  Gossip(boost::asio::io_context& control,
         GossipSettings settings,
         PeerClient& client,
         GossipHooks hooks,
         Clock clock,
         WallClock wall_clock,
         RandomSource random);
  ~Gossip();
  Gossip(const Gossip&) = delete;
  auto operator=(const Gossip&) -> Gossip& = delete;

  // Registers the handlers "sync" and "feed"; call before the server is
  // started. They are invoked on the server's io_contexts and do their work on
  // the control io_context.
  auto RegisterHandlers(PeerServer& server) -> void;

  // To be called once the datagram socket is bound.
  auto Start() -> void;
  auto bound() const -> bool;
  // For a planned stop, call Leave first and Stop when the work of this node
  // has ended.
  auto Leave() -> void;
  auto Stop() -> void;

  // Must be called when the owner of a feed has applied a revision from the
  // platform.
  auto OnFeedApplied(const std::string& feed, std::uint64_t revision) -> void;
  auto SetSeeds(std::vector<std::string> seeds) -> void;
  // Sends a datagram that is not a membership message. Field "t" of `message`
  // must be a name of more than one letter. Throws Error(kInvalidArgument) for
  // a bad address.
  auto SendDatagram(const std::string& address, const nlohmann::json& message)
      -> void;
  auto SendDatagrams(const std::vector<std::string>& addresses,
                     const nlohmann::json& message) -> void;

  auto membership() const -> const control::Membership&;
  auto feeds() const -> const control::FeedRelay&;
  auto counters() const -> GossipCounters;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace kumquatgauge::node

#endif  // KUMQUATGAUGE_NODE_GOSSIP_H_
