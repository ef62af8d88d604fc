#ifndef KUMQUATGAUGE_UPSTREAM_CONNECTION_SETTINGS_H_
#define KUMQUATGAUGE_UPSTREAM_CONNECTION_SETTINGS_H_

#include <chrono>
#include <cstddef>

namespace kumquatgauge::upstream {

// Limits of the connections from one client instance to each address.
struct ConnectionSettings {
  static constexpr std::size_t kMaxConnections = 1024;

  std::size_t max_connections = kMaxConnections;  // Per address.
  // Below the keep-alive time of common servers, so that an idle connection is
  // rarely closed by the upstream first.
  std::chrono::milliseconds idle_limit{4'000};
  std::chrono::milliseconds connect_timeout{300};
  // TCP_USER_TIMEOUT: unacknowledged data for this long breaks the connection.
  std::chrono::milliseconds user_timeout{1'500};

  auto operator==(const ConnectionSettings&) const -> bool = default;
};

}  // namespace kumquatgauge::upstream

#endif  // KUMQUATGAUGE_UPSTREAM_CONNECTION_SETTINGS_H_
