#ifndef UPSTREAM_CONNECTION_POOL_H_
#define UPSTREAM_CONNECTION_POOL_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "kumquatgauge/upstream/connection_settings.h"
#include "upstream/deadline_socket.h"

namespace kumquatgauge::upstream::detail {

class ConnectionPool;

// The ids of the requests that a connection has carried, as hashes; two ids
// with one hash only cost a connection.
class CarriedIds {
 public:
  // A connection that has carried so many is closed, which limits the memory.
  static constexpr std::size_t kMax = 256;

  auto Add(std::string_view id) -> void;
  auto Contains(std::string_view id) const -> bool;
  auto full() const -> bool { return hashes_.size() >= kMax; }

 private:
  std::vector<std::size_t> hashes_;
};

// A connection taken from the pool; closed if destroyed without Release.
class Connection {
 public:
  Connection(std::shared_ptr<DeadlineSocket> io,
             std::string address,
             bool reused,
             CarriedIds ids,
             std::shared_ptr<ConnectionPool> pool);
  Connection(const Connection&) = delete;
  auto operator=(const Connection&) -> Connection& = delete;
  ~Connection();

  auto io() -> DeadlineSocket& { return *io_; }
  // Whether it has carried an earlier request.
  auto reused() const -> bool { return reused_; }
  // Returns the connection to the pool, or closes it if it has carried too many
  // ids; must not be used afterwards.
  auto Release() -> void;

 private:
  std::shared_ptr<DeadlineSocket> io_;
  std::string address_;
  bool reused_;
  CarriedIds ids_;
  std::shared_ptr<ConnectionPool> pool_;
};

enum class Reuse { kAllowed, kFreshOnly };

// Pool of keep-alive connections per address, for one io_context.
class ConnectionPool : public std::enable_shared_from_this<ConnectionPool> {
 public:
  ConnectionPool(const boost::asio::any_io_executor& executor,
                 ConnectionSettings settings);

  // A kept connection that has carried a request with the same `id` is not
  // used, since the answer to that one may be written once more. Empty if the
  // request has no id. Throws Error(kUnavailable) if the connection is refused,
  // the address is unreachable, connecting takes longer than the connect
  // timeout or `limit`, or max_connections are in use.
  auto Acquire(std::string address,
               Reuse reuse,
               Duration limit,
               std::string id = "")
      -> boost::asio::awaitable<std::shared_ptr<Connection>>;

  // Open connections to `address`, idle ones included.
  auto open(const std::string& address) const -> std::size_t;
  // Closes the idle connections.
  auto Close() -> void;

 private:
  friend class Connection;

  struct IdleConnection {
    std::shared_ptr<DeadlineSocket> io;
    CarriedIds ids;
    MonotonicTime since;
  };
  struct Address {
    std::size_t in_use = 0;
    std::deque<IdleConnection> idle;  // The longest idle one first.
  };

  auto TakeIdle(const std::string& address, const std::string& id)
      -> std::optional<IdleConnection>;
  auto Return(const std::string& address,
              std::shared_ptr<DeadlineSocket> io,
              CarriedIds ids) -> void;
  auto OnClosed(const std::string& address) -> void;
  auto DropExpired() -> void;
  auto SchedulePrune() -> void;

  boost::asio::any_io_executor executor_;
  ConnectionSettings settings_;
  std::unordered_map<std::string, Address> addresses_;
  boost::asio::steady_timer prune_timer_;
  bool prune_scheduled_ = false;
  bool closed_ = false;
};

}  // namespace kumquatgauge::upstream::detail

#endif  // UPSTREAM_CONNECTION_POOL_H_
