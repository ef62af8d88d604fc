#ifndef KUMQUATGAUGE_NODE_PEER_H_
#define KUMQUATGAUGE_NODE_PEER_H_

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace kumquatgauge::node {

// Traffic between two nodes uses one connection per kind, so that online
// streams share no flow-control window and no TCP stream with batch.
enum class Channel { kOnline, kBatch, kControl };

// Version of the messages between nodes, field "v" of each.
inline constexpr int kMessageVersion = 1;

// The answering side of one stream. Used on the io_context that the stream's
// handler runs on.
class Responder {
 public:
  virtual ~Responder() = default;

  // Sends one frame. Returns false when the other side is gone or has reset
  // the stream; the handler should then stop its work.
  virtual auto Send(const nlohmann::json& frame) -> bool = 0;
  // True once the other side is gone or has reset the stream.
  virtual auto cancelled() const -> bool = 0;
  // Called once, on the stream's io_context, when the other side goes away.
  virtual auto OnCancel(std::function<auto()->void> hook) -> void = 0;
};

// Handles one request; the stream ends when the coroutine returns. A thrown
// Error is sent to the other side as an error frame and rethrown there.
using Handler = std::function<auto(nlohmann::json request,
                                   std::shared_ptr<Responder> responder)
                                  ->boost::asio::awaitable<void>>;

// Receives the frames of one stream in order.
using FrameSink = std::function<auto(const nlohmann::json&)->void>;

// Cancels the stream it was given to; may be called more than once, on the
// io_context of the call.
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

// The asking side: streams to other nodes, connections made on demand and kept.
// One instance per io_context; not thread-safe.
class PeerClient {
 public:
  virtual ~PeerClient() = default;

  // Sends `request` to /node/v1/NAME at `address` ("IP:port") and passes each
  // frame to `sink`; returns when the stream has ended. `cancel` may be null.
  // Errors: the other side's Error; kUnavailable when no byte of the request
  // was sent; kUnknownOutcome when the connection was lost or silent after
  // that; kTimeout when `timeout` passed without a frame, after which the
  // request may still run; kPermissionDenied when the fleet credential differs.
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
