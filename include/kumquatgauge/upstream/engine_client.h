#ifndef KUMQUATGAUGE_UPSTREAM_ENGINE_CLIENT_H_
#define KUMQUATGAUGE_UPSTREAM_ENGINE_CLIENT_H_

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "kumquatgauge/base/ids.h"
#include "kumquatgauge/routing/completion.h"

namespace kumquatgauge::upstream {

// Load reported by an engine or a plain service.
struct LoadReport {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t capacity = 1;
  double kv_used = 0.0;              // Share of the KV cache in use, 0..1.
  std::chrono::milliseconds age{0};  // Age of the figures when sent.
  std::vector<std::string> models;   // "model@version" loaded now.

  auto operator==(const LoadReport&) const -> bool = default;
};

// An order to an engine; see docs/design.md, section 10.
struct EngineOrder {
  std::uint64_t fence = 0;  // Fencing token.
  std::string operation;    // Operation id; a repeated one has no new effect.
  std::string action;       // "load", "unload" or "role"
  std::string model;
  std::string version;

  auto operator==(const EngineOrder&) const -> bool = default;
};

// Stops a running stream: call Cancel on the io_context of the stream. Closing
// the connection cancels the request at the engine.
class StreamHandle {
 public:
  virtual ~StreamHandle() = default;
  virtual auto Cancel() -> void = 0;
};

// How a stream from an engine ended.
struct StreamEnd {
  enum class Kind {
    kCompleted,
    kRejected,   // 4xx: the request is invalid; nothing was generated.
    kRefused,    // Connection refused or 429/503 before the start; not run.
    kFailed,     // 5xx: it may have run.
    kLost,       // Connection lost or no progress in time; resumable.
    kCancelled,  // Cancelled through the handle.
  };

  Kind kind = Kind::kCompleted;
  std::string reason;
  std::string finish_reason;
  std::uint64_t next_offset = 0;  // Offset of the first token not received.

  auto operator==(const StreamEnd&) const -> bool = default;
};

// HTTP client for model engines, with a pool of connections per address. One
// instance per io_context; not thread-safe.
class EngineClient {
 public:
  virtual ~EngineClient() = default;

  // Streams the completion from the engine at `address` and passes tokens from
  // request.resume_offset on to `sink`, each once and in order. `on_start` gets
  // the handle before the first byte is sent. Failures of the engine are not
  // thrown but reported in StreamEnd.
  virtual auto Stream(
      std::string address,
      routing::CompletionRequest request,
      std::function<auto(std::shared_ptr<StreamHandle>)->void> on_start,
      routing::TokenSink sink) -> boost::asio::awaitable<StreamEnd> = 0;

  // Throws Error(kUnavailable or kTimeout).
  virtual auto Load(std::string address)
      -> boost::asio::awaitable<LoadReport> = 0;

  // Throws Error(kConflict) when the engine rejects an outdated fencing token,
  // and Error(kUnknownOutcome) when the response was lost.
  virtual auto SendOrder(std::string address, EngineOrder order)
      -> boost::asio::awaitable<void> = 0;
};

}  // namespace kumquatgauge::upstream

#endif  // KUMQUATGAUGE_UPSTREAM_ENGINE_CLIENT_H_
