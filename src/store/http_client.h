#ifndef STORE_HTTP_CLIENT_H_
#define STORE_HTTP_CLIENT_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace kumquatgauge::store::detail {

struct HttpRequest {
  std::string method;
  std::string target;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
};

struct HttpResponse {
  int status = 0;
  std::uint64_t version = 0;  // Header X-Version; 0 when there is none.
  std::optional<std::chrono::milliseconds> retry_after;
  std::string body;
};

// Result of a call. `response` is empty when no whole response arrived.
struct HttpResult {
  std::optional<HttpResponse> response;
  bool may_have_been_sent = false;  // At least one byte.
  bool timed_out = false;
  std::string reason;
};

// HTTP/1.1 client for one address ("IP:port") with a pool of idle connections.
// Calls end within their timeout and never throw for failures of the network.
// Copies share the pool.
class HttpClient {
 public:
  // A connection that was idle for longer than `idle_limit` is not reused: a
  // network failure may have broken it unnoticed, and a call on it would time
  // out.
  HttpClient(boost::asio::any_io_executor executor,
             const std::string& address,
             std::chrono::milliseconds idle_limit);

  // A repeatable call is sent once more on a new connection when a pooled one
  // turns out to be closed.
  auto Call(HttpRequest request,
            bool repeatable,
            std::chrono::milliseconds timeout)
      -> boost::asio::awaitable<HttpResult>;

  struct Pool;

 private:
  std::shared_ptr<Pool> pool_;
};

// Percent-encodes characters that are not allowed in a path or query; keeps
// '/'.
auto UrlEncode(const std::string& text) -> std::string;

}  // namespace kumquatgauge::store::detail

#endif  // STORE_HTTP_CLIENT_H_
