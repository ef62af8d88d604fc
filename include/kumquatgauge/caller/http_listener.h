#ifndef KUMQUATGAUGE_CALLER_HTTP_LISTENER_H_
#define KUMQUATGAUGE_CALLER_HTTP_LISTENER_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <string>

#include "kumquatgauge/base/http_header.h"
#include "kumquatgauge/base/time.h"
#include "kumquatgauge/caller/held_response.h"

namespace kumquatgauge::caller {

// A request whose header and body have been read completely.
struct IncomingRequest {
  std::string method;
  std::string target;  // Path and query as sent.
  HeaderList headers;
  std::string body;
  MonotonicTime arrived;  // When the last byte was read.
};

// Writes the response to one request. Every call returns false once the caller
// has disconnected. If the response is neither sent nor finished when the
// handler returns, the connection is closed, so that the caller cannot take a
// partial response for a complete one.
class ResponseWriter {
 public:
  virtual ~ResponseWriter() = default;

  virtual auto Send(int status, HeaderList headers, std::string body)
      -> boost::asio::awaitable<bool> = 0;
  // Starts a response in chunks, whose total length is not known.
  virtual auto BeginStream(int status, HeaderList headers)
      -> boost::asio::awaitable<bool> = 0;
  // Waits while the caller does not read; a listener with HeldResponseHooks
  // lets some of the stream wait in memory before that.
  virtual auto WriteChunk(std::string piece)
      -> boost::asio::awaitable<bool> = 0;
  virtual auto FinishStream() -> boost::asio::awaitable<bool> = 0;

  virtual auto disconnected() const -> bool = 0;
  // Calls `hook` once if the caller closes its connection before the response
  // has ended.
  virtual auto OnDisconnect(std::function<auto()->void> hook) -> void = 0;
};

using RequestHandler =
    std::function<auto(std::shared_ptr<const IncomingRequest> request,
                       std::shared_ptr<ResponseWriter> writer)
                      ->boost::asio::awaitable<void>>;

struct ListenerLimits {
  std::size_t max_header_bytes = 16'384;
  std::size_t max_body_bytes = 4'194'304;
  // Time from the first byte of a request to its last one.
  std::chrono::milliseconds read_timeout{3'000};
  // Time that a connection may stay open without a request.
  std::chrono::milliseconds idle_timeout{15'000};
  // How long a response may wait until its caller reads more of it. Does not
  // apply to a listener with HeldResponseHooks, which limit it.
  std::chrono::milliseconds write_timeout{5'000};
  std::size_t max_connections = 1'000;
  // Bodies of all requests that are being read or under way. Requests beyond it
  // are refused as not run.
  std::size_t max_total_body_bytes = std::numeric_limits<std::size_t>::max();

  auto operator==(const ListenerLimits&) const -> bool = default;
};

// HTTP/1.1 server for callers and the platform. Used on one io_context, which
// is run by one thread.
class HttpListener {
 public:
  HttpListener(boost::asio::io_context& context,
               const std::string& address,
               ListenerLimits limits,
               RequestHandler handler,
               HeldResponseHooks held_hooks = {});
  ~HttpListener();
  HttpListener(const HttpListener&) = delete;
  auto operator=(const HttpListener&) -> HttpListener& = delete;

  // Starts listening, as soon as nobody else uses the address. Throws
  // Error(kUnavailable) when it cannot be bound for another reason.
  auto Start() -> void;
  auto listening() const -> bool;
  // Applies to requests that begin from now on.
  auto SetLimits(ListenerLimits limits) -> void;
  // Sends "Connection: close" with every response from now on.
  auto Drain() -> void;
  // Refuses new connections from now on.
  auto StopAccepting() -> void;
  // Closes the connections that wait for a request. A request that is in
  // transit at that moment is never read, so its caller can safely send it
  // elsewhere.
  auto CloseIdle() -> void;
  // Stops accepting and closes all connections.
  auto Stop() -> void;

  auto address() const -> std::string;
  auto connections() const -> std::size_t;
  // Number of requests that have been read but not yet answered.
  auto active_requests() const -> std::size_t;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace kumquatgauge::caller

#endif  // KUMQUATGAUGE_CALLER_HTTP_LISTENER_H_
