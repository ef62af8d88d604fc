#ifndef TESTING_SOAK_LOOPBACK_PROXY_H_
#define TESTING_SOAK_LOOPBACK_PROXY_H_

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <memory>
#include <string>

namespace kumquatgauge::testing {

enum class LinkFault {
  kNone,
  kDelay,    // Each piece waits before it is passed on.
  kSilence,  // Nothing is passed on; connections of that time stay dead.
  kOneWay,   // The same for answers only, so that requests still arrive.
};

// A TCP proxy on 127.0.0.1 that misbehaves on command. Runs on the thread of
// its io_context; commands come from any thread.
class LoopbackProxy {
 public:
  LoopbackProxy(boost::asio::io_context& context, const std::string& target);
  ~LoopbackProxy();
  LoopbackProxy(const LoopbackProxy&) = delete;
  auto operator=(const LoopbackProxy&) -> LoopbackProxy& = delete;

  auto address() const -> std::string;
  auto SetFault(LinkFault fault) -> void;
  // Resets all connections that are open now.
  auto Reset() -> void;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace kumquatgauge::testing

#endif  // TESTING_SOAK_LOOPBACK_PROXY_H_
