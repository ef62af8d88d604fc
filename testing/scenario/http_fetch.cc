#include "testing/scenario/http_fetch.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <utility>

namespace kumquatgauge::testing {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

using SteadyClock = std::chrono::steady_clock;

auto MillisecondsSince(SteadyClock::time_point start) -> double {
  return std::chrono::duration<double, std::milli>(SteadyClock::now() - start)
      .count();
}

auto LowerCase(std::string text) -> std::string {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char letter) { return std::tolower(letter); });
  return text;
}

// One exchange, driven by callbacks until its io_context runs out of work.
class Exchange {
 public:
  explicit Exchange(const FetchRequest& request) : stream_(context_) {
    message_.method_string(request.method);
    message_.target(request.target);
    message_.version(11);
    message_.set(http::field::host, request.address);
    message_.set(http::field::connection, "close");
    for (const auto& [name, value] : request.headers) {
      message_.set(name, value);
    }
    message_.body() = request.body;
    message_.prepare_payload();
    parser_.body_limit(boost::none);
    stream_.expires_after(request.timeout);
    const auto colon = request.address.rfind(':');
    const auto endpoint = asio::ip::tcp::endpoint(
        asio::ip::make_address(request.address.substr(0, colon)),
        static_cast<std::uint16_t>(
            std::stoul(request.address.substr(colon + 1))));
    stream_.async_connect(endpoint, [this](const auto& error) {
      reply_.connected = !error;
      if (!error) {
        Write();
      }
    });
  }

  auto Run() -> FetchReply {
    context_.run();
    reply_.complete = parser_.is_done();
    if (parser_.is_header_done()) {
      const auto& response = parser_.get();
      reply_.status = static_cast<int>(response.result_int());
      for (const auto& field : response) {
        reply_.headers[LowerCase(std::string(field.name_string()))] =
            std::string(field.value());
      }
      reply_.body = response.body();
    }
    reply_.total_ms = MillisecondsSince(start_);
    return std::move(reply_);
  }

 private:
  auto Write() -> void {
    http::async_write(stream_, message_, [this](const auto& error, auto) {
      if (!error) {
        Read();
      }
    });
  }

  auto Read() -> void {
    http::async_read_some(
        stream_, buffer_, parser_, [this](const auto& error, auto) {
          if (!reply_.first_byte_ms && parser_.is_header_done() &&
              !parser_.get().body().empty()) {
            reply_.first_byte_ms = MillisecondsSince(start_);
          }
          if (!error && !parser_.is_done()) {
            Read();
          }
        });
  }

  SteadyClock::time_point start_ = SteadyClock::now();
  asio::io_context context_;
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  http::request<http::string_body> message_;
  http::response_parser<http::string_body> parser_;
  FetchReply reply_;
};

}  // namespace

auto Fetch(const FetchRequest& request) -> FetchReply {
  return Exchange(request).Run();
}

}  // namespace kumquatgauge::testing
