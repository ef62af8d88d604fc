#ifndef KUMQUATGAUGE_STORE_HOST_LIST_H_
#define KUMQUATGAUGE_STORE_HOST_LIST_H_

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "kumquatgauge/base/ids.h"

namespace kumquatgauge::store {

enum class HostState { kLive, kLeaving };

struct Host {
  std::string name;
  std::string address;  // "IP:port"
  ZoneName zone;
  HostState state = HostState::kLive;

  auto operator==(const Host&) const -> bool = default;
};

// The platform's list of hosts, which may be out of date.
struct HostListSnapshot {
  std::uint64_t version = 0;  // Increases with every change of the list.
  std::vector<Host> hosts;    // Ordered by name.

  auto operator==(const HostListSnapshot&) const -> bool = default;
};

class HostList {
 public:
  virtual ~HostList() = default;

  // Throws Error(kUnavailable or kTimeout) when the platform does not respond.
  virtual auto Fetch() -> boost::asio::awaitable<HostListSnapshot> = 0;
};

}  // namespace kumquatgauge::store

#endif  // KUMQUATGAUGE_STORE_HOST_LIST_H_
