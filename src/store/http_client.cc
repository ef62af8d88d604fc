#include "store/http_client.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <deque>

#include "base/http_status.h"
#include "base/read_limits.h"
#include "base/socket_options.h"
#include "kumquatgauge/base/error.h"

namespace kumquatgauge::store::detail {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::awaitable;
using asio::ip::tcp;
using boost::system::error_code;
using TimePoint = std::chrono::steady_clock::time_point;

// A watch may receive no data for a long time, so only TCP can detect a dead
// connection. Half of the shortest time in which a change must take effect.
constexpr auto kUserTimeout = std::chrono::milliseconds(1000);
constexpr auto kAwaitTuple = asio::as_tuple(asio::use_awaitable);
// A node makes a few calls at a time; more idle connections only cost memory.
constexpr std::size_t kMaxIdle = 4;
// Well above the size of a listing page and of a value of kMaxValueBytes.
constexpr std::uint64_t kMaxResponseBytes = 8'000'000;
constexpr auto kHex = std::string_view("0123456789ABCDEF");
// Characters besides letters and digits that UrlEncode keeps: the unreserved
// ones of RFC 3986, and '/'.
constexpr auto kUnreserved = std::string_view("-._~/");

auto ParseEndpoint(const std::string& address) -> tcp::endpoint {
  const auto colon = address.rfind(':');
  auto error = error_code();
  auto port = std::uint16_t{0};
  if (colon != std::string::npos) {
    auto host = address.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
      host = host.substr(1, host.size() - 2);
    }
    const auto ip = asio::ip::make_address(host, error);
    const auto* end = address.data() + address.size();
    const auto parsed = std::from_chars(address.data() + colon + 1, end, port);
    if (!error && parsed.ec == std::errc() && parsed.ptr == end) {
      return {ip, port};
    }
  }
  throw Error(ErrorKind::kInvalidArgument, "malformed platform address",
              address, "use IP:port");
}

template <typename Headers>
auto ParseNumber(const Headers& headers, const char* name)
    -> std::optional<std::uint64_t> {
  const auto text = headers[name];
  auto number = std::uint64_t{0};
  const auto* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return number;
}

struct Connection {
  explicit Connection(const asio::any_io_executor& executor)
      : stream(executor) {}

  beast::tcp_stream stream;
  beast::flat_buffer buffer{kumquatgauge::detail::kMaxUnparsedBytes};
  TimePoint idle_since;
};

// Whether an idle connection was closed by the platform or has unexpected data.
auto IsStale(Connection& connection) -> bool {
  auto& socket = connection.stream.socket();
  auto error = error_code();
  socket.non_blocking(true, error);
  if (error) {
    return true;
  }
  auto byte = char{0};
  socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
  return error != asio::error::would_block;
}

}  // namespace

struct HttpClient::Pool {
  Pool(asio::any_io_executor pool_executor,
       const std::string& address,
       std::chrono::milliseconds pool_idle_limit)
      : executor(std::move(pool_executor)),
        endpoint(ParseEndpoint(address)),
        host(address),
        idle_limit(pool_idle_limit) {}

  auto TakeIdle() -> std::shared_ptr<Connection> {
    const auto oldest = std::chrono::steady_clock::now() - idle_limit;
    while (!idle.empty()) {
      auto connection = std::move(idle.back());
      idle.pop_back();
      if (connection->idle_since >= oldest && !IsStale(*connection)) {
        return connection;
      }
    }
    return nullptr;
  }

  auto Keep(std::shared_ptr<Connection> connection) -> void {
    if (idle.size() < kMaxIdle) {
      connection->idle_since = std::chrono::steady_clock::now();
      idle.push_back(std::move(connection));
    }
  }

  asio::any_io_executor executor;
  tcp::endpoint endpoint;
  std::string host;
  std::chrono::milliseconds idle_limit;
  std::deque<std::shared_ptr<Connection>> idle;
};

namespace {

struct Exchange {
  HttpResult result;
  bool keep_alive = false;
};

auto ToResponse(http::response<http::string_body>&& message) -> HttpResponse {
  auto response = HttpResponse();
  response.status = static_cast<int>(message.result_int());
  response.version = ParseNumber(message, "X-Version").value_or(0);
  if (const auto seconds = ParseNumber(message, "Retry-After")) {
    response.retry_after = std::chrono::seconds(*seconds);
  }
  response.body = std::move(message.body());
  return response;
}

// Sends one request on a connected stream and reads its response.
auto RunExchange(std::shared_ptr<Connection> connection,
                 std::shared_ptr<http::request<http::string_body>> message,
                 TimePoint deadline) -> awaitable<Exchange> {
  auto exchange = Exchange();
  auto& result = exchange.result;
  connection->stream.expires_at(deadline);
  const auto [write_error, written] =
      co_await http::async_write(connection->stream, *message, kAwaitTuple);
  result.may_have_been_sent =
      !write_error || written > 0 || write_error == beast::error::timeout;
  if (write_error) {
    result.timed_out = write_error == beast::error::timeout;
    result.reason = write_error.message();
    co_return exchange;
  }
  auto parser = http::response_parser<http::string_body>();
  parser.body_limit(kMaxResponseBytes);
  const auto [read_error, read] = co_await http::async_read(
      connection->stream, connection->buffer, parser, kAwaitTuple);
  if (read_error) {
    result.timed_out = read_error == beast::error::timeout;
    result.reason = read_error.message();
    co_return exchange;
  }
  connection->stream.expires_never();
  auto answer = parser.release();
  // The platform sends no informational responses.
  if (!kumquatgauge::detail::IsHttpStatus(answer.result_int()) ||
      answer.result_int() < kumquatgauge::detail::kFirstFinalHttpStatus) {
    result.reason = "no HTTP status: " + std::to_string(answer.result_int());
    co_return exchange;
  }
  exchange.keep_alive = answer.keep_alive();
  result.response = ToResponse(std::move(answer));
  co_return exchange;
}

}  // namespace

HttpClient::HttpClient(asio::any_io_executor executor,
                       const std::string& address,
                       std::chrono::milliseconds idle_limit)
    : pool_(std::make_shared<Pool>(std::move(executor), address, idle_limit)) {}

auto HttpClient::Call(HttpRequest request,
                      bool repeatable,
                      std::chrono::milliseconds timeout)
    -> awaitable<HttpResult> {
  const auto pool = pool_;
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  auto message = std::make_shared<http::request<http::string_body>>();
  message->version(11);
  message->method_string(request.method);
  message->target(request.target);
  message->set(http::field::host, pool->host);
  for (const auto& [name, value] : request.headers) {
    message->set(name, value);
  }
  message->body() = std::move(request.body);
  message->prepare_payload();

  auto connection = pool->TakeIdle();
  if (connection) {
    auto exchange = co_await RunExchange(connection, message, deadline);
    if (exchange.result.response) {
      if (exchange.keep_alive) {
        pool->Keep(std::move(connection));
      }
      co_return std::move(exchange.result);
    }
    if (exchange.result.timed_out) {
      // When one connection times out, the others are likely to be dead as
      // well, so they are replaced too.
      pool->idle.clear();
    }
    const auto retry = !exchange.result.timed_out &&
                       (repeatable || !exchange.result.may_have_been_sent);
    if (!retry) {
      co_return std::move(exchange.result);
    }
  }

  connection = std::make_shared<Connection>(pool->executor);
  connection->stream.expires_at(deadline);
  kumquatgauge::detail::OpenForConnect(connection->stream.socket(),
                                       pool->endpoint);
  const auto [connect_error] =
      co_await connection->stream.async_connect(pool->endpoint, kAwaitTuple);
  if (connect_error) {
    auto failed = HttpResult();
    failed.timed_out = connect_error == beast::error::timeout;
    failed.reason = connect_error.message();
    co_return failed;
  }
  kumquatgauge::detail::ConfigureTcpSocket(connection->stream.socket(),
                                           kUserTimeout);
  auto exchange = co_await RunExchange(connection, message, deadline);
  if (exchange.result.response && exchange.keep_alive) {
    pool->Keep(std::move(connection));
  }
  co_return std::move(exchange.result);
}

auto UrlEncode(const std::string& text) -> std::string {
  auto encoded = std::string();
  for (const auto character : text) {
    const auto byte = static_cast<unsigned char>(character);
    const auto letter_or_digit = (byte >= '0' && byte <= '9') ||
                                 (byte >= 'A' && byte <= 'Z') ||
                                 (byte >= 'a' && byte <= 'z');
    if (letter_or_digit ||
        kUnreserved.find(character) != std::string_view::npos) {
      encoded += character;
    } else {
      encoded += '%';
      encoded += kHex[byte >> 4U];
      encoded += kHex[byte & 0xFU];
    }
  }
  return encoded;
}

}  // namespace kumquatgauge::store::detail
