#include "testing/support/http_server.h"

#include <sys/socket.h>

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cctype>
#include <optional>
#include <set>
#include <sstream>
#include <utility>

namespace kumquatgauge::testing {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

constexpr std::size_t kMaxBodyBytes = 64U << 20U;

auto Lower(std::string text) -> std::string {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

auto Listen(tcp::acceptor& acceptor, const std::string& address)
    -> std::string {
  const auto colon = address.rfind(':');
  const auto port = static_cast<std::uint16_t>(
      std::stoul(address.substr(std::min(colon + 1, address.size()))));
  const tcp::endpoint endpoint(asio::ip::make_address(address.substr(0, colon)),
                               port);
  acceptor.open(endpoint.protocol());
  acceptor.set_option(tcp::acceptor::reuse_address(true));
  acceptor.bind(endpoint);
  acceptor.listen();
  std::ostringstream out;
  out << acceptor.local_endpoint();
  return out.str();
}

}  // namespace

auto HttpRequest::header(const std::string& name) const -> std::string {
  const auto found = headers.find(name);
  return found == headers.end() ? "" : found->second;
}

auto HttpRequest::path() const -> std::string {
  return target.substr(0, target.find('?'));
}

auto HttpRequest::query(const std::string& name) const -> std::string {
  const auto start = target.find('?');
  std::istringstream pairs(
      start == std::string::npos ? "" : target.substr(start + 1));
  std::string pair;
  while (std::getline(pairs, pair, '&')) {
    if (pair.rfind(name + "=", 0) == 0) {
      return pair.substr(name.size() + 1);
    }
  }
  return "";
}

namespace detail {

class HttpSession;

struct HttpServerCore : std::enable_shared_from_this<HttpServerCore> {
  HttpServerCore(asio::io_context& io_context, HttpHandler request_handler)
      : context(io_context),
        acceptor(io_context),
        handler(std::move(request_handler)) {}

  auto Accept() -> void;

  asio::io_context& context;
  tcp::acceptor acceptor;
  HttpHandler handler;
  std::string address;
  std::size_t accepted = 0;
  std::set<HttpSession*> sessions;
};

class HttpSession : public HttpExchange,
                    public std::enable_shared_from_this<HttpSession> {
 public:
  HttpSession(std::shared_ptr<HttpServerCore> core, tcp::socket socket)
      : core_(std::move(core)), socket_(std::move(socket)) {
    core_->sessions.insert(this);
  }
  HttpSession(const HttpSession&) = delete;
  auto operator=(const HttpSession&) -> HttpSession& = delete;
  ~HttpSession() override { core_->sessions.erase(this); }

  auto busy() const -> bool { return busy_; }

  auto Run() -> asio::awaitable<void> {
    while (keep_alive_ && socket_.is_open()) {
      auto request = co_await ReadRequest();
      if (!request) {
        break;
      }
      busy_ = true;
      on_close_ = nullptr;
      WatchClose();
      co_await core_->handler(std::move(*request), shared_from_this());
      busy_ = false;
    }
    on_close_ = nullptr;
    Abort();
  }

  auto Respond(int status, std::string body) -> asio::awaitable<void> override {
    http::response<http::string_body> response;
    response.version(11);
    response.result(static_cast<unsigned>(status));
    response.set(http::field::content_type, "application/json");
    response.keep_alive(keep_alive_);
    response.body() = std::move(body);
    response.prepare_payload();
    boost::system::error_code error;
    co_await http::async_write(
        socket_, response, asio::redirect_error(asio::use_awaitable, error));
    keep_alive_ = keep_alive_ && !error;
  }

  auto StartEvents() -> asio::awaitable<void> override {
    http::response<http::empty_body> response;
    response.version(11);
    response.result(http::status::ok);
    response.set(http::field::content_type, "text/event-stream");
    response.chunked(true);
    http::response_serializer<http::empty_body> serializer(response);
    boost::system::error_code error;
    co_await http::async_write_header(
        socket_, serializer, asio::redirect_error(asio::use_awaitable, error));
  }

  auto Write(std::string bytes) -> asio::awaitable<bool> override {
    boost::system::error_code error;
    const auto chunk = http::make_chunk(asio::buffer(bytes));
    co_await asio::async_write(
        socket_, chunk, asio::redirect_error(asio::use_awaitable, error));
    co_return !error;
  }

  auto FinishEvents() -> asio::awaitable<void> override {
    boost::system::error_code error;
    const auto last = http::make_chunk_last();
    co_await asio::async_write(
        socket_, last, asio::redirect_error(asio::use_awaitable, error));
    keep_alive_ = keep_alive_ && !error;
  }

  auto Abort() -> void override {
    boost::system::error_code ignored;
    socket_.close(ignored);
    keep_alive_ = false;
  }

  auto OnClose(std::function<auto()->void> hook) -> void override {
    on_close_ = std::move(hook);
  }

 private:
  auto ReadRequest() -> asio::awaitable<std::optional<HttpRequest>> {
    http::request_parser<http::string_body> parser;
    parser.body_limit(kMaxBodyBytes);
    boost::system::error_code error;
    co_await http::async_read(socket_, buffer_, parser,
                              asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      co_return std::nullopt;
    }
    keep_alive_ = parser.keep_alive();
    auto& message = parser.get();
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto& field : message) {
      request.headers[Lower(std::string(field.name_string()))] =
          std::string(field.value());
    }
    request.body = std::move(message.body());
    co_return request;
  }

  // Waits for the end of stream while a handler runs.
  auto WatchClose() -> void {
    if (watching_) {
      return;
    }
    watching_ = true;
    socket_.async_wait(
        tcp::socket::wait_read,
        [self = shared_from_this()](const boost::system::error_code& error) {
          self->watching_ = false;
          self->NoticeClose(error);
        });
  }

  auto NoticeClose(const boost::system::error_code& error) -> void {
    if (!busy_) {
      return;
    }
    char byte = 0;
    const auto count = error ? 0
                             : ::recv(socket_.native_handle(), &byte, 1,
                                      MSG_PEEK | MSG_DONTWAIT);
    if (count < 0) {
      WatchClose();
    } else if (count == 0 && on_close_) {
      std::exchange(on_close_, nullptr)();
    }
  }

  std::shared_ptr<HttpServerCore> core_;
  tcp::socket socket_;
  boost::beast::flat_buffer buffer_;
  std::function<auto()->void> on_close_;
  bool busy_ = false;
  bool keep_alive_ = true;
  bool watching_ = false;
};

auto HttpServerCore::Accept() -> void {
  acceptor.async_accept([self = shared_from_this()](
                            const boost::system::error_code& error,
                            tcp::socket socket) {
    if (error || !self->acceptor.is_open()) {
      return;
    }
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    ++self->accepted;
    auto session = std::make_shared<HttpSession>(self, std::move(socket));
    asio::co_spawn(
        self->context, [session]() { return session->Run(); }, asio::detached);
    self->Accept();
  });
}

}  // namespace detail

HttpServer::HttpServer(asio::io_context& context,
                       const std::string& address,
                       HttpHandler handler)
    : core_(std::make_shared<detail::HttpServerCore>(context,
                                                     std::move(handler))) {
  core_->address = Listen(core_->acceptor, address);
  core_->Accept();
}

HttpServer::~HttpServer() {
  Close();
}

auto HttpServer::address() const -> const std::string& {
  return core_->address;
}

auto HttpServer::connections() const -> std::size_t {
  return core_->sessions.size();
}

auto HttpServer::accepted() const -> std::size_t {
  return core_->accepted;
}

auto HttpServer::CloseIdle() -> void {
  for (auto* session : core_->sessions) {
    if (!session->busy()) {
      session->Abort();
    }
  }
}

auto HttpServer::Close() -> void {
  boost::system::error_code ignored;
  core_->acceptor.close(ignored);
  for (auto* session : core_->sessions) {
    session->Abort();
  }
}

}  // namespace kumquatgauge::testing
