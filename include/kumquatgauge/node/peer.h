#ifndef KUMQUATGAUGE_NODE_PEER_H_
#define KUMQUATGAUGE_NODE_PEER_H_

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace kumquatgauge::node {

// Two nodes use a separate connection per channel, so that online streams share
// neither a flow-control window nor a TCP stream with batch traffic.
enum class Channel { kOnline, kBatch, kControl };

// Version of the messages between nodes, sent as field "v" of each message.
inline constexpr int kMessageVersion = 1;

// The server side of one stream. Used on the io_context on which the stream's
// handler runs.
class Responder {
 public:
  virtual ~Responder() = default;

  // Sends one frame. Returns false if the peer has disconnected or reset the
  // stream; the handler should then stop its work.
  virtual auto Send(const nlohmann::json& frame) -> bool = 0;
  // True once the peer has disconnected or reset the stream.
  virtual auto cancelled() const -> bool = 0;
  // Sets a hook that is called once, on the stream's io_context, when the peer
  // disconnects or the stream is reset.
  virtual auto OnCancel(std::function<auto()->void> hook) -> void = 0;
};

// Handles one request; the stream ends when the coroutine returns. A thrown
// Error is sent to the client as an error frame and rethrown there.
using Handler = std::function<auto(nlohmann::json request,
                                   std::shared_ptr<Responder> responder)
                                  ->boost::asio::awaitable<void>>;

// Receives the frames of one stream in order.
using FrameSink = std::function<auto(const nlohmann::json&)->void>;

// Cancels the call that it was passed to. Cancel may be called more than once,
// on the io_context of the call.
class StreamCancel {
 public:
  auto Cancel() -> void {
    cancelled_ = true;
    if (hook_) {
      hook_();
    }
  }
  auto cancelled() const -> bool { return cancelled_; }
  auto set_hook(std::function<auto()->void> hook) -> void {
    hook_ = std::move(hook);
  }

 private:
  bool cancelled_ = false;
  std::function<auto()->void> hook_;
};

// The client side of calls to other nodes. Connections are made on demand and
// reused. One instance per io_context; not thread-safe.
class PeerClient {
 public:
  virtual ~PeerClient() = default;

  // Sends `request` to /node/v1/NAME at `address` ("IP:port") and passes each
  // frame to `sink`. Returns when the stream has ended. `cancel` may be null.
  // Throws the Error of the handler, or an Error of kind kUnavailable if no
  // byte of the request was sent; kOverloaded if the node refused the stream;
  // kUnknownOutcome if the connection was lost or unresponsive after the
  // request was sent; kTimeout if `timeout` passed without a frame, in which
  // case the request may still run; kPermissionDenied if the fleet credential
  // differs.
  virtual auto Call(std::string address,
                    Channel channel,
                    std::string name,
                    nlohmann::json request,
                    FrameSink sink,
                    std::chrono::milliseconds timeout,
                    std::shared_ptr<StreamCancel> cancel)
      -> boost::asio::awaitable<void> = 0;
};

}  // namespace kumquatgauge::node

#endif  // KUMQUATGAUGE_NODE_PEER_H_
