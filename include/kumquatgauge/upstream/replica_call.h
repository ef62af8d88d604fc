#ifndef KUMQUATGAUGE_UPSTREAM_REPLICA_CALL_H_
#define KUMQUATGAUGE_UPSTREAM_REPLICA_CALL_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "kumquatgauge/base/http_header.h"
#include "kumquatgauge/base/time.h"
#include "kumquatgauge/upstream/connection_settings.h"

namespace kumquatgauge::upstream {

struct ReplicaRequest {
  std::string address;  // "IP:port"
  // Not sent on a connection that has carried a request with the same id, since
  // the answer to that one may be written once more. A request without an id
  // gets a new connection.
  std::string id;
  std::string method;
  std::string target;
  HeaderList headers;
  // Kept until it was written or the connection has ended.
  std::shared_ptr<const std::string> body;
  // How often the request may be sent; it may run each time. If more than once,
  // it is sent again on a new connection when a reused one is closed before any
  // byte of a response.
  std::uint32_t max_sends = 1;
  // Checked before each send, since opening a connection takes time; nothing is
  // sent once it returns false. May be empty.
  std::function<auto()->bool> may_send;
  // Nothing is sent or read after this time.
  MonotonicTime deadline;
  // Timeouts for the response head and then for each further read of the body.
  Duration head_timeout{};
  Duration body_idle_timeout{};
  // How long the body may go on without a call of OnProgress although bytes
  // arrive; zero for no limit.
  Duration progress_timeout{};
};

struct ReplicaHead {
  int status = 0;
  HeaderList headers;
  // No earlier request was sent on the connection.
  bool first_on_connection = true;

  auto operator==(const ReplicaHead&) const -> bool = default;
};

// State of a call, or why it ended.
enum class CallEnd {
  kOpen,       // More may follow.
  kComplete,   // The whole response was read.
  kNotSent,    // No byte of the request was sent.
  kBroken,     // The connection was closed or lost.
  kMalformed,  // The bytes are no response to this request.
  kSilent,     // One of the request's timeouts passed.
  kDeadline,   // The deadline passed.
  kNoMemory,   // There is no memory for the response.
  kCancelled,
};

auto CallEndName(CallEnd end) -> std::string_view;

// Returns whether a response head belongs to the request: false for the
// response to an earlier request, which may arrive on a reused connection.
using HeadFilter = std::function<auto(const ReplicaHead&)->bool>;

// Sends requests to replicas over pooled connections. One instance per
// io_context.
class ReplicaCaller {
 public:
  ReplicaCaller(const boost::asio::any_io_executor& executor,
                ConnectionSettings settings);
  ~ReplicaCaller();
  ReplicaCaller(const ReplicaCaller&) = delete;
  auto operator=(const ReplicaCaller&) -> ReplicaCaller& = delete;

  class Call;
  // `accept_head` must accept the response head of this request.
  auto Start(ReplicaRequest request, HeadFilter accept_head)
      -> std::shared_ptr<Call>;
  // Number of connections opened so far.
  auto opened() const -> std::uint64_t;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

// One request in flight. Not thread-safe. Destroying it closes the connection
// unless the response was complete.
class ReplicaCaller::Call : public std::enable_shared_from_this<Call> {
 public:
  virtual ~Call() = default;

  // Sends the request and waits for the response head; returns kOpen on
  // success.
  virtual auto Open() -> boost::asio::awaitable<CallEnd> = 0;
  // Waits for further bytes of the body and appends them to `bytes`. Returns
  // kOpen while more may follow; the last bytes may be returned with kComplete.
  virtual auto Read(std::string& bytes) -> boost::asio::awaitable<CallEnd> = 0;
  // Records that the bytes read so far hold something of use, such as a whole
  // event.
  virtual auto OnProgress() -> void = 0;
  // Cancels the call; pending operations return kCancelled.
  virtual auto Cancel() -> void = 0;

  virtual auto head() const -> const ReplicaHead& = 0;
  virtual auto bytes_sent() const -> bool = 0;
  // How often the request was sent so far.
  virtual auto sends() const -> std::uint32_t = 0;
  // Description of the failure, for logs.
  virtual auto reason() const -> const std::string& = 0;
};

}  // namespace kumquatgauge::upstream

#endif  // KUMQUATGAUGE_UPSTREAM_REPLICA_CALL_H_
