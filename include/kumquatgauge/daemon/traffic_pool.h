#ifndef KUMQUATGAUGE_DAEMON_TRAFFIC_POOL_H_
#define KUMQUATGAUGE_DAEMON_TRAFFIC_POOL_H_

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <thread>
#include <vector>

#include "kumquatgauge/node/peer.h"
#include "kumquatgauge/upstream/engine_client.h"
#include "kumquatgauge/upstream/service_client.h"

namespace kumquatgauge::daemon {

// Makes the clients of one traffic thread.
struct ClientFactory {
  std::function<
      auto(boost::asio::io_context&)->std::unique_ptr<upstream::EngineClient>>
      engine;
  std::function<
      auto(boost::asio::io_context&)->std::unique_ptr<upstream::ServiceClient>>
      service;
  std::function<
      auto(boost::asio::io_context&)->std::unique_ptr<node::PeerClient>>
      peer;
};

// The threads that handle traffic, each with an io_context and clients of its
// own, so that no client is shared between threads.
class TrafficPool {
 public:
  class Thread {
   public:
    explicit Thread(const ClientFactory& factory);

    auto context() -> boost::asio::io_context& { return context_; }
    auto engine() -> upstream::EngineClient& { return *engine_; }
    auto service() -> upstream::ServiceClient& { return *service_; }
    auto peer() -> node::PeerClient& { return *peer_; }

   private:
    boost::asio::io_context context_{1};
    std::unique_ptr<upstream::EngineClient> engine_;
    std::unique_ptr<upstream::ServiceClient> service_;
    std::unique_ptr<node::PeerClient> peer_;
  };

  TrafficPool(std::size_t threads, const ClientFactory& factory);
  ~TrafficPool();

  auto Start() -> void;
  // Ends the threads; coroutines that still run are destroyed.
  auto Stop() -> void;

  // The thread that runs the call. Throws Error outside of the traffic threads.
  auto current() -> Thread&;
  // The next thread, round robin. May be called on any thread.
  auto Next() -> Thread&;
  auto contexts() -> std::vector<boost::asio::io_context*>;

 private:
  using Guard =
      boost::asio::executor_work_guard<boost::asio::io_context::executor_type>;

  std::vector<std::unique_ptr<Thread>> threads_;
  std::vector<Guard> guards_;
  std::vector<std::thread> running_;
  std::atomic<std::size_t> next_{0};
};

}  // namespace kumquatgauge::daemon

#endif  // KUMQUATGAUGE_DAEMON_TRAFFIC_POOL_H_
