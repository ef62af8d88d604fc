#ifndef KUMQUATGAUGE_NODE_PEER_CLIENT_H_
#define KUMQUATGAUGE_NODE_PEER_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <memory>
#include <string>

#include "kumquatgauge/node/peer.h"

namespace kumquatgauge::node {

// Interval between PINGs while streams are open. If a PING is not acknowledged
// within one interval, new calls use a new connection.
inline constexpr std::chrono::milliseconds kPingInterval{500};
// Number of intervals without a PING ACK after which a connection is considered
// dead (1.5 s). Intervals are counted instead of time, so that a stall of this
// process is not taken for an unresponsive peer.
inline constexpr int kPingIntervalsUntilDead = 3;
// Limit for the TCP connect and the arrival of the server's SETTINGS.
inline constexpr std::chrono::milliseconds kConnectTimeout{1500};

// A connection without streams is closed after this time. Otherwise membership
// syncs alone would keep a connection open to every node of the fleet.
inline constexpr std::chrono::seconds kIdleTimeout{60};

struct PeerClientSettings {
  std::string fleet_credential;
};

// Creates a client for use on `context`, which is run by one thread and must
// outlive the client; the client must outlive its calls. A cancelled call
// returns without an error. No request is sent before the server's SETTINGS
// arrive, so that a host that accepts connections but never responds results in
// kUnavailable.
auto MakePeerClient(boost::asio::io_context& context,
                    PeerClientSettings settings) -> std::unique_ptr<PeerClient>;

}  // namespace kumquatgauge::node

#endif  // KUMQUATGAUGE_NODE_PEER_CLIENT_H_
