#ifndef KUMQUATGAUGE_CALLER_CALLER_BACKEND_H_
#define KUMQUATGAUGE_CALLER_CALLER_BACKEND_H_

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

#include "kumquatgauge/base/ids.h"
#include "kumquatgauge/base/outcome.h"
#include "kumquatgauge/base/time.h"
#include "kumquatgauge/node/peer.h"
#include "kumquatgauge/routing/completion.h"
#include "kumquatgauge/upstream/service_client.h"

namespace kumquatgauge::caller {

// The response to GET /v1/addresses.
struct AddressList {
  std::vector<std::string> addresses;  // "IP:port", preferred ones first.
  std::chrono::seconds ttl{0};         // How long a caller may cache them.
  std::string ticket;                  // See docs/design.md, section 8.

  auto operator==(const AddressList&) const -> bool = default;
};

struct ModelInfo {
  std::string id;
  std::int64_t created_s = 0;  // Seconds since the epoch.

  auto operator==(const ModelInfo&) const -> bool = default;
};

// How a completion ended.
struct CompletionEnd {
  Outcome outcome;
  std::string finish_reason;  // "stop" or "length" when completed.
  // HTTP status that replaces the default one of the outcome; 0 for none. 429
  // means that a limit refused the request, 400 that the engine rejected it.
  int http_status = 0;

  auto operator==(const CompletionEnd&) const -> bool = default;
};

// Options of a call to a plain service, from the headers of the request.
struct ServiceCallOptions {
  OrganisationName organisation;
  std::string idempotency_key;  // Empty when the caller sent none.
  std::string ticket;           // Empty when the caller sent none.
  RequestId request_id;
  std::chrono::milliseconds time_left{0};

  auto operator==(const ServiceCallOptions&) const -> bool = default;
};

// How a call to a plain service ended.
struct ServiceCallEnd {
  Outcome outcome;
  std::optional<upstream::ServiceResponse> response;
  int http_status = 0;  // As in CompletionEnd; 422 for a reused key.

  auto operator==(const ServiceCallEnd&) const -> bool = default;
};

struct BatchOptions {
  OrganisationName organisation;
  std::string idempotency_key;
  ServiceName service;  // The model or service that runs the items.
  WallTime due;

  auto operator==(const BatchOptions&) const -> bool = default;
};

// One batch upload. Destroying it without calling Finish abandons the upload,
// and no part of the job is accepted.
class BatchUpload {
 public:
  virtual ~BatchUpload() = default;

  // Appends the next bytes of the JSON Lines body; a line may span two calls.
  // Throws Error.
  virtual auto Append(std::string bytes) -> boost::asio::awaitable<void> = 0;
  // Accepts the job and returns its status object, including "id". Throws
  // Error(kConflict) when the idempotency key belongs to a job with another
  // body.
  virtual auto Finish() -> boost::asio::awaitable<nlohmann::json> = 0;
};

// Receives a result stream piece by piece. It returns when the piece has been
// written to the caller, so that the next one is read only then. Throws
// Error(kUnavailable) when the caller has disconnected; callers of the sink
// must propagate it.
using ByteSink =
    std::function<auto(std::string bytes)->boost::asio::awaitable<void>>;

// The operations that the caller listener needs from the daemon. They are
// called on the io_contexts of the traffic threads, from several threads at
// once. Each coroutine, sink and cancel hook runs on the io_context of its
// connection. The kind of a thrown Error selects the status of the response;
// see docs/callers.md.
class CallerBackend {
 public:
  virtual ~CallerBackend() = default;

  virtual auto addresses() -> AddressList = 0;
  // True when the node can serve; otherwise /readyz returns 503.
  virtual auto ready() -> bool = 0;
  // Metrics in the text exposition format.
  virtual auto metrics() -> std::string = 0;
  virtual auto Models() -> std::vector<ModelInfo> = 0;

  // Runs a completion and passes its tokens to `sink`. `cancel` is cancelled
  // when the caller disconnects, possibly before a hook is set: check
  // cancelled() after setting one.
  virtual auto Complete(routing::CompletionRequest request,
                        routing::TokenSink sink,
                        std::shared_ptr<node::StreamCancel> cancel)
      -> boost::asio::awaitable<CompletionEnd> = 0;

  virtual auto CallService(ServiceName service,
                           upstream::ServiceRequest request,
                           ServiceCallOptions options)
      -> boost::asio::awaitable<ServiceCallEnd> = 0;

  virtual auto StartBatch(BatchOptions options)
      -> boost::asio::awaitable<std::unique_ptr<BatchUpload>> = 0;
  // Returns the status object of a job. Throws Error(kNotFound).
  virtual auto BatchStatus(JobId id)
      -> boost::asio::awaitable<nlohmann::json> = 0;
  // Cancels a job and returns its status object. Throws Error(kNotFound).
  virtual auto CancelBatch(JobId id)
      -> boost::asio::awaitable<nlohmann::json> = 0;
  // Passes the results to `sink` as JSON Lines: all of them, or only the one of
  // `custom_id`. Throws Error(kNotFound) before the first piece.
  virtual auto ReadResults(JobId id,
                           std::optional<std::string> custom_id,
                           ByteSink sink) -> boost::asio::awaitable<void> = 0;
};

}  // namespace kumquatgauge::caller

#endif  // KUMQUATGAUGE_CALLER_CALLER_BACKEND_H_
