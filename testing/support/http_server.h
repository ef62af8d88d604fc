#ifndef TESTING_SUPPORT_HTTP_SERVER_H_
#define TESTING_SUPPORT_HTTP_SERVER_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace kumquatgauge::testing {

struct HttpRequest {
  std::string method;
  std::string target;
  std::map<std::string, std::string> headers;  // Names in lower case.
  std::string body;

  // Value of a header, given in lower case; empty when absent.
  auto header(const std::string& name) const -> std::string;
  // Target without the query.
  auto path() const -> std::string;
  // Value of a query parameter; empty when absent.
  auto query(const std::string& name) const -> std::string;
};

// The response side of one request.
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;

  virtual auto Respond(int status, std::string body)
      -> boost::asio::awaitable<void> = 0;
  // Begins a chunked response of server-sent events.
  virtual auto StartEvents() -> boost::asio::awaitable<void> = 0;
  // Returns false when the client has disconnected.
  virtual auto Write(std::string bytes) -> boost::asio::awaitable<bool> = 0;
  virtual auto FinishEvents() -> boost::asio::awaitable<void> = 0;
  // Closes the connection without sending anything more.
  virtual auto Abort() -> void = 0;
  // Called at most once, when the client closes while the handler runs.
  virtual auto OnClose(std::function<auto()->void> hook) -> void = 0;
};

using HttpHandler = std::function<auto(HttpRequest request,
                                       std::shared_ptr<HttpExchange> exchange)
                                      ->boost::asio::awaitable<void>>;

namespace detail {
struct HttpServerCore;
}  // namespace detail

// A small HTTP/1.1 server with keep-alive for the fakes; runs on one
// io_context.
class HttpServer {
 public:
  // Listens on `address` ("IP:port"); throws boost::system::system_error.
  HttpServer(boost::asio::io_context& context,
             const std::string& address,
             HttpHandler handler);
  HttpServer(const HttpServer&) = delete;
  auto operator=(const HttpServer&) -> HttpServer& = delete;
  ~HttpServer();

  auto address() const -> const std::string&;
  auto connections() const -> std::size_t;
  // Connections accepted since the start.
  auto accepted() const -> std::size_t;
  // Closes every connection on which no request runs.
  auto CloseIdle() -> void;
  // Stops listening and closes every connection at once.
  auto Close() -> void;

 private:
  std::shared_ptr<detail::HttpServerCore> core_;
};

}  // namespace kumquatgauge::testing

#endif  // TESTING_SUPPORT_HTTP_SERVER_H_
