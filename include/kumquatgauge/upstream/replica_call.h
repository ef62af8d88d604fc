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
  std::string method;
  std::string target;
  HeaderList headers;
  std::string body;
  // How often it may be sent, each of which may run it. With more than one, a
  // kept connection that closes before any answer is replaced by a new one.
  std::uint32_t max_sends = 1;
  // Nothing is read or sent after this.
  MonotonicTime deadline;
  // Longest wait for the head of the answer, and then for each next byte.
  Duration head_timeout{};
  Duration body_idle_timeout{};
};

struct ReplicaHead {
  int status = 0;
  HeaderList headers;

  auto operator==(const ReplicaHead&) const -> bool = default;
};

// Why no further byte comes.
enum class CallEnd {
  kOpen,       // More may come.
  kComplete,   // The whole answer was read.
  kNotSent,    // No byte of the request has left.
  kBroken,     // The connection ended or broke.
  kMalformed,  // The bytes are no answer to this request.
  kSilent,     // A silence limit passed.
  kDeadline,   // The deadline passed.
  kCancelled,
};

auto CallEndName(CallEnd end) -> std::string_view;

// Judges a head before it is taken as the answer: false for the answer to
// another request, which may lie on a kept connection.
using HeadFilter = std::function<auto(const ReplicaHead&)->bool>;

// Makes requests to replicas on kept connections. One instance per io_context.
class ReplicaCaller {
 public:
  ReplicaCaller(const boost::asio::any_io_executor& executor,
                ConnectionSettings settings);
  ~ReplicaCaller();
  ReplicaCaller(const ReplicaCaller&) = delete;
  auto operator=(const ReplicaCaller&) -> ReplicaCaller& = delete;

  class Call;
  // `accept_head` must accept the head of the answer to this request.
  auto Start(ReplicaRequest request, HeadFilter accept_head)
      -> std::shared_ptr<Call>;
  // Connections opened since the start.
  auto opened() const -> std::uint64_t;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

// One request on its way. Not thread-safe. Destroying it closes the connection
// unless the answer was complete.
class ReplicaCaller::Call : public std::enable_shared_from_this<Call> {
 public:
  virtual ~Call() = default;

  // Sends the request and waits for the head of the answer; kOpen on success.
  virtual auto Open() -> boost::asio::awaitable<CallEnd> = 0;
  // Waits for further bytes of the body and appends them to `bytes`. Returns
  // kOpen while more may come; the last bytes may come with kComplete.
  virtual auto Read(std::string& bytes) -> boost::asio::awaitable<CallEnd> = 0;
  // Ends the call from outside; pending calls return kCancelled.
  virtual auto Cancel() -> void = 0;

  virtual auto head() const -> const ReplicaHead& = 0;
  virtual auto bytes_sent() const -> bool = 0;
  // How often the request was sent so far.
  virtual auto sends() const -> std::uint32_t = 0;
  // Text of the failure, for logs.
  virtual auto reason() const -> const std::string& = 0;
};

}  // namespace kumquatgauge::upstream

#endif  // KUMQUATGAUGE_UPSTREAM_REPLICA_CALL_H_
