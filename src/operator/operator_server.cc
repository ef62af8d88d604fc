#include "kumquatgauge/operator/operator_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <utility>

#include "base/listen_address.h"
#include "base/process_hooks.h"
#include "base/read_limits.h"
#include "kumquatgauge/base/error.h"

namespace kumquatgauge::operators {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

constexpr auto kIdleTimeout = std::chrono::seconds(60);
// Running out of descriptors is temporary.
constexpr auto kAcceptRetryDelay = std::chrono::milliseconds(50);
constexpr auto kBearerPrefix = std::string_view("Bearer ");

using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

auto StatusOf(ErrorKind kind) -> http::status {
  switch (kind) {
    case ErrorKind::kInvalidArgument:
      return http::status::bad_request;
    case ErrorKind::kNotFound:
      return http::status::not_found;
    case ErrorKind::kConflict:
      return http::status::conflict;
    case ErrorKind::kPermissionDenied:
      return http::status::forbidden;
    case ErrorKind::kUnavailable:
    case ErrorKind::kOverloaded:
      return http::status::service_unavailable;
    case ErrorKind::kTimeout:
    case ErrorKind::kUnknownOutcome:
      return http::status::gateway_timeout;
    case ErrorKind::kInternal:
      break;
  }
  return http::status::internal_server_error;
}

auto MakeResponse(const Request& request,
                  http::status status,
                  const nlohmann::json& body) -> Response {
  auto response = Response(status, request.version());
  response.set(http::field::content_type, "application/json");
  response.keep_alive(request.keep_alive());
  response.body() =
      body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  response.prepare_payload();
  return response;
}

auto ErrorResponse(const Request& request, const Error& error) -> Response {
  return MakeResponse(
      request, StatusOf(error.kind()),
      {{"ok", false},
       {"error",
        {{"kind", ErrorKindName(error.kind())}, {"message", error.what()}}}});
}

}  // namespace

class OperatorServer::State : public std::enable_shared_from_this<State> {
 public:
  State(asio::io_context& context,
        OperatorCredentials credentials,
        CommandExecutor& executor)
      : context_(context),
        acceptor_(context),
        credentials_(std::move(credentials)),
        executor_(executor) {}

  auto Listen(const std::string& address) -> void {
    const auto colon = address.rfind(':');
    endpoint_ = {
        asio::ip::make_address(address.substr(0, colon)),
        static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1)))};
    kumquatgauge::detail::OpenListenAddress(
        context_.get_executor(), address,
        kumquatgauge::detail::MakeListenHooks(weak_from_this()));
  }

  auto Open() -> boost::system::error_code {
    if (stopped_) {
      return asio::error::operation_aborted;
    }
    return kumquatgauge::detail::OpenAcceptor(acceptor_, endpoint_);
  }

  auto OnOpened() -> void {
    asio::co_spawn(context_, Accept(), asio::detached);
  }

  auto port() const -> std::uint16_t {
    return acceptor_.local_endpoint().port();
  }

  auto Stop() -> void {
    stopped_ = true;
    auto ignored = boost::system::error_code();
    acceptor_.close(ignored);
  }

  auto Accept() -> asio::awaitable<void> {
    const auto self = shared_from_this();
    while (acceptor_.is_open()) {
      auto failed = boost::system::error_code();
      auto socket = co_await acceptor_.async_accept(
          asio::redirect_error(asio::use_awaitable, failed));
      if (!failed) {
        asio::co_spawn(context_, Serve(std::move(socket)), asio::detached);
      } else if (acceptor_.is_open()) {
        co_await kumquatgauge::detail::Pause(kAcceptRetryDelay);
      }
    }
  }

 private:
  auto Serve(asio::ip::tcp::socket socket) -> asio::awaitable<void> {
    const auto self = shared_from_this();
    auto failed = boost::system::error_code();
    const auto from = socket.remote_endpoint(failed);
    auto stream = beast::tcp_stream(std::move(socket));
    auto buffer = beast::flat_buffer(kumquatgauge::detail::kMaxUnparsedBytes);
    try {
      while (true) {
        auto parser = http::request_parser<http::string_body>();
        parser.body_limit(2 * kMaxCommandBytes);
        stream.expires_after(kIdleTimeout);
        co_await http::async_read(stream, buffer, parser, asio::use_awaitable);
        stream.expires_never();
        const auto request = parser.release();
        auto response =
            co_await HandleRequest(request, from.address().to_string());
        stream.expires_after(kIdleTimeout);
        co_await http::async_write(stream, response, asio::use_awaitable);
        if (!response.keep_alive()) {
          break;
        }
      }
    } catch (const boost::system::system_error&) {
      // The operator has disconnected or was idle for too long.
    }
    stream.socket().shutdown(asio::ip::tcp::socket::shutdown_both, failed);
  }

  auto HandleRequest(const Request& request, std::string from)
      -> asio::awaitable<Response> {
    try {
      co_return MakeResponse(request, http::status::ok,
                             co_await RunCommand(request, std::move(from)));
    } catch (const Error& error) {
      co_return ErrorResponse(request, error);
    } catch (const std::exception& error) {
      co_return ErrorResponse(
          request, Error(ErrorKind::kInternal, error.what(), "command",
                         "report this with the node's log"));
    }
  }

  auto RunCommand(const Request& request, std::string from)
      -> asio::awaitable<nlohmann::json> {
    if (request.target() != "/v1/command" ||
        request.method() != http::verb::post) {
      throw Error(ErrorKind::kNotFound, "no such endpoint",
                  std::string(request.method_string()) + " " +
                      std::string(request.target()),
                  "use POST /v1/command");
    }
    auto token = std::string_view(request[http::field::authorization]);
    if (!token.starts_with(kBearerPrefix)) {
      token = {};
    } else {
      token.remove_prefix(kBearerPrefix.size());
    }
    const auto credential = credentials_.Find(token);
    if (!credential) {
      throw Error(ErrorKind::kPermissionDenied, "unknown credential",
                  "Authorization",
                  "send \"Bearer TOKEN\" with a token from the node's "
                  "credentials file");
    }
    const auto body = nlohmann::json::parse(request.body(), nullptr, false);
    if (!body.is_object() || !body.contains("command") ||
        !body["command"].is_string()) {
      throw Error(ErrorKind::kInvalidArgument, "invalid request body",
                  "command", "send {\"command\": \"...\"}");
    }
    // Named variables, because GCC 12 destroys aggregate temporaries in a
    // co_await expression twice.
    auto line = body["command"].get<std::string>();
    auto origin = CommandOrigin();
    origin.credential = *credential;
    origin.address = std::move(from);
    origin.operation_id = body.value("operation_id", std::string());
    co_return co_await executor_.Run(std::move(line), std::move(origin));
  }

  asio::io_context& context_;
  asio::ip::tcp::acceptor acceptor_;
  asio::ip::tcp::endpoint endpoint_;
  bool stopped_ = false;
  OperatorCredentials credentials_;
  CommandExecutor& executor_;
};

OperatorServer::OperatorServer(asio::io_context& context,
                               const std::string& address,
                               OperatorCredentials credentials,
                               CommandExecutor& executor)
    : state_(
          std::make_shared<State>(context, std::move(credentials), executor)) {
  state_->Listen(address);
}

OperatorServer::~OperatorServer() {
  state_->Stop();
}

auto OperatorServer::port() const -> std::uint16_t {
  return state_->port();
}

auto OperatorServer::Stop() -> void {
  state_->Stop();
}

}  // namespace kumquatgauge::operators
