#include "upstream/http_exchange.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http.hpp>
#include <optional>
#include <utility>

#include "base/http_status.h"
#include "kumquatgauge/base/error.h"

namespace kumquatgauge::upstream::detail {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

using OnExpiry = DeadlineSocket::OnExpiry;
using ResponseParser = http::response_parser<http::string_body>;

auto ToMessage(const std::string& address, ServiceRequest request)
    -> http::request<http::string_body> {
  http::request<http::string_body> message;
  message.version(11);
  message.method_string(request.method);
  message.target(request.target);
  message.set(http::field::host, address);
  for (const auto& header : request.headers) {
    if (!IsHopByHop(header.name) &&
        !beast::iequals(header.name, "Content-Length") &&
        !beast::iequals(header.name, "Host")) {
      message.insert(header.name, header.value);
    }
  }
  message.body() = std::move(request.body);
  message.prepare_payload();
  return message;
}

auto ToResponse(ResponseParser& parser) -> ServiceResponse {
  auto& message = parser.get();
  ServiceResponse response;
  response.status = static_cast<int>(message.result_int());
  for (const auto& field : message) {
    if (!IsHopByHop(field.name_string()) &&
        field.name() != http::field::content_length) {
      response.headers.push_back(
          {std::string(field.name_string()), std::string(field.value())});
    }
  }
  response.body = std::move(message.body());
  return response;
}

// How far one attempt on one connection got.
struct Attempt {
  std::optional<ServiceResponse> response = std::nullopt;
  bool bytes_sent = false;      // A byte of the request may have been sent.
  bool written = false;         // The whole request was.
  bool response_begun = false;  // A byte of the response arrived.
  bool timed_out = false;
  std::string reason = {};
};

auto ReadResponse(std::shared_ptr<Connection> connection,
                  bool head,
                  std::size_t max_bytes,
                  Attempt& attempt) -> asio::awaitable<void> {
  auto& io = connection->io();
  boost::system::error_code error;
  while (true) {
    ResponseParser parser;
    parser.body_limit(max_bytes);
    parser.skip(head);
    const auto bytes = co_await http::async_read(
        io.socket(), io.buffer(), parser,
        asio::redirect_error(asio::use_awaitable, error));
    attempt.response_begun = attempt.response_begun || bytes > 0;
    if (error) {
      attempt.reason = error.message();
      co_return;
    }
    const auto status = parser.get().result_int();
    if (!kumquatgauge::detail::IsHttpStatus(status)) {
      attempt.reason = "no HTTP status: " + std::to_string(status);
      co_return;
    }
    if (status < kumquatgauge::detail::kFirstFinalHttpStatus) {
      continue;
    }
    if (parser.need_eof() && !attempt.written) {
      // A socket reports a reset once. The failed write got it, and the read
      // ended as if the service had closed the connection after a whole body.
      attempt.reason = "the connection ended before the request was written";
      co_return;
    }
    const auto keep_alive = parser.keep_alive();
    attempt.response = ToResponse(parser);
    if (keep_alive && io.buffer().size() == 0) {
      connection->Release();
    }
    co_return;
  }
}

auto RunAttempt(std::shared_ptr<Connection> connection,
                http::request<http::string_body>& message,
                MonotonicTime deadline,
                std::size_t max_bytes) -> asio::awaitable<Attempt> {
  Attempt attempt;
  auto& io = connection->io();
  io.ExpireAt(deadline, OnExpiry::kClose);
  boost::system::error_code error;
  const auto written = co_await http::async_write(
      io.socket(), message, asio::redirect_error(asio::use_awaitable, error));
  attempt.bytes_sent = written > 0;
  attempt.written = !error;
  if (error && !attempt.bytes_sent) {
    attempt.timed_out = io.timed_out();
    attempt.reason = error.message();
    co_return attempt;
  }
  // The response is read even after a failed write: a service may respond and
  // close before it has read the whole request.
  const auto head = message.method() == http::verb::head;
  co_await ReadResponse(connection, head, max_bytes, attempt);
  if (!attempt.response) {
    attempt.timed_out = io.timed_out();
  }
  co_return attempt;
}

}  // namespace

auto Exchange(std::shared_ptr<ConnectionPool> pool,
              std::string address,
              ServiceRequest request,
              bool repeatable,
              ExchangeLimits limits) -> asio::awaitable<ServiceResponse> {
  const auto deadline = std::chrono::steady_clock::now() + limits.timeout;
  auto message = ToMessage(address, std::move(request));
  auto reuse = repeatable ? Reuse::kAllowed : Reuse::kFreshOnly;
  auto may_have_run = false;
  std::string reason;
  while (true) {
    std::shared_ptr<Connection> connection;
    try {
      const auto left = deadline - std::chrono::steady_clock::now();
      connection = co_await pool->Acquire(address, reuse, left);
    } catch (const Error& error) {
      if (!may_have_run) {
        throw;
      }
      reason = error.what();
    }
    if (!connection) {
      break;
    }
    auto attempt = co_await RunAttempt(connection, message, deadline,
                                       limits.max_response_bytes);
    if (attempt.response) {
      co_return std::move(*attempt.response);
    }
    may_have_run = may_have_run || attempt.bytes_sent;
    reason = attempt.timed_out ? "no response in time" : attempt.reason;
    // Only a reused connection can have been closed before this request.
    const auto stale =
        connection->reused() && !attempt.response_begun && !attempt.timed_out;
    if (!stale || reuse == Reuse::kFreshOnly) {
      break;
    }
    reuse = Reuse::kFreshOnly;
  }
  if (may_have_run) {
    throw Error(ErrorKind::kUnknownOutcome, reason, address,
                "the request may have run; check before sending it again");
  }
  throw Error(ErrorKind::kUnavailable, reason, address,
              "use another replica or retry later");
}

}  // namespace kumquatgauge::upstream::detail
