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

// Answer to GET /v1/addresses.
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
  // HTTP status to answer with instead of the one that belongs to the outcome;
  // 0 for none. 429 stands for a limit that refused the request, 400 for a
  // request that the engine rejected.
  int http_status = 0;

  auto operator==(const CompletionEnd&) const -> bool = default;
};

// What accompanies a call to a plain service.
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

// One batch upload. Destroying it without Finish abandons the upload; nothing
// has been accepted then.
class BatchUpload {
 public:
  virtual ~BatchUpload() = default;

  // Takes the next bytes of the JSON Lines body; a line may span two pieces.
  // Throws Error.
  virtual auto Append(std::string bytes) -> boost::asio::awaitable<void> = 0;
  // Accepts the job and returns its status object, "id" included. Throws
  // Error(kConflict) when the key names a job with another body.
  virtual auto Finish() -> boost::asio::awaitable<nlohmann::json> = 0;
};

// Receives a result stream piece by piece; the next piece is read only when
// the caller has taken this one. Throws Error(kUnavailable) when the caller is
// gone; let it pass through.
using ByteSink =
    std::function<auto(std::string bytes)->boost::asio::awaitable<void>>;

// What the caller listener needs from the daemon. Called on the io_contexts of
// the traffic threads, from several threads at once. Each coroutine, sink and
// cancel hook runs on the io_context of its connection. Errors thrown are
// answered by kind; see docs/callers.md.
class CallerBackend {
 public:
  virtual ~CallerBackend() = default;

  virtual auto addresses() -> AddressList = 0;
  // True when the node can serve; false turns /readyz to 503.
  virtual auto ready() -> bool = 0;
  // Metrics in the text exposition format.
  virtual auto metrics() -> std::string = 0;
  virtual auto Models() -> std::vector<ModelInfo> = 0;

  // Passes the tokens to `sink`. `cancel` is cancelled when the caller goes
  // away; check cancelled() after setting a hook.
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
  // Status object of a job. Throws Error(kNotFound).
  virtual auto BatchStatus(JobId id)
      -> boost::asio::awaitable<nlohmann::json> = 0;
  // Cancels a job and returns its status object. Throws Error(kNotFound).
  virtual auto CancelBatch(JobId id)
      -> boost::asio::awaitable<nlohmann::json> = 0;
  // Passes the results as JSON Lines, or only the one of `custom_id`. Throws
  // Error(kNotFound) before the first piece.
  virtual auto ReadResults(JobId id,
                           std::optional<std::string> custom_id,
                           ByteSink sink) -> boost::asio::awaitable<void> = 0;
};

}  // namespace kumquatgauge::caller

#endif  // KUMQUATGAUGE_CALLER_CALLER_BACKEND_H_
