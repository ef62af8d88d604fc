#ifndef KUMQUATGAUGE_NODE_PEER_CLIENT_H_
#define KUMQUATGAUGE_NODE_PEER_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <memory>
#include <string>

#include "kumquatgauge/node/peer.h"

namespace kumquatgauge::node {

// A PING is sent this often while streams are open; after one that is
// unanswered for the same time, new calls use a fresh connection.
inline constexpr std::chrono::milliseconds kPingInterval{500};
// Unanswered intervals after which a connection is judged dead (1.5 s). Counted
// in intervals, so that a stall of this process does not count as silence.
inline constexpr int kPingIntervalsUntilDead = 3;
// Time for TCP to connect and for the other side's SETTINGS to arrive.
inline constexpr std::chrono::milliseconds kConnectTimeout{1500};

// A connection without streams is closed after this: table comparison alone
// would otherwise leave a connection to every node of the fleet.
inline constexpr std::chrono::seconds kIdleTimeout{60};

struct PeerClientSettings {
  std::string fleet_credential;
};

// A client for use on `context`, which is run by one thread and must outlive
// it; the client must outlive its calls. A call that is cancelled returns
// without an error. No request is sent before the other side's SETTINGS
// arrived, so that a host that accepts connections but answers nothing gives
// kUnavailable.
auto MakePeerClient(boost::asio::io_context& context,
                    PeerClientSettings settings) -> std::unique_ptr<PeerClient>;

}  // namespace kumquatgauge::node

#endif  // KUMQUATGAUGE_NODE_PEER_CLIENT_H_
