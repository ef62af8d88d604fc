#ifndef TESTING_SOAK_LOOPBACK_PROXY_H_
#define TESTING_SOAK_LOOPBACK_PROXY_H_

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <memory>
#include <string>

namespace kumquatgauge::testing {

enum class LinkFault {
  kNone,
  kDelay,    // Each piece is forwarded with a delay.
  kSilence,  // Nothing is forwarded; connections with data then stay silent.
  kOneWay,   // The same for answers only, so that requests still arrive.
};

// A TCP proxy on 127.0.0.1 that injects faults. Runs on the thread of its
// io_context; its functions can be called from any thread.
class LoopbackProxy {
 public:
  // The header by which replicas say that a request has not run.
  static constexpr auto kRefusalMark = "Not-Executed:";

  LoopbackProxy(boost::asio::io_context& context, const std::string& target);
  ~LoopbackProxy();
  LoopbackProxy(const LoopbackProxy&) = delete;
  auto operator=(const LoopbackProxy&) -> LoopbackProxy& = delete;

  auto address() const -> std::string;
  auto SetFault(LinkFault fault) -> void;
  // While set, an answer that holds `kRefusalMark` is written once more when
  // the next request arrives on its connection, before that request is
  // forwarded.
  auto set_repeats_refusals(bool repeats) -> void;
  // Resets all connections that are open now.
  auto Reset() -> void;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace kumquatgauge::testing

#endif  // TESTING_SOAK_LOOPBACK_PROXY_H_
