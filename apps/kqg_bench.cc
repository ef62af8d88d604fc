#include <getopt.h>

#include <algorithm>
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using SteadyClock = std::chrono::steady_clock;

constexpr auto kUsage = R"(Usage: kqg-bench [OPTION]...

Sends streamed completions to one address of 127.0.0.0/8 at a fixed rate (open
loop) over kept connections and prints one JSON object: requests, errors,
tokens, percentiles of the first token and of the whole answer in ms.

Options:
      --address IP:PORT  where to send (required)
      --rate N           requests per second (default 100)
      --seconds N        length of the run (default 5)
      --tokens N         max_tokens of each request (default 16)
      --model NAME       model (default tab-writer)
  -h, --help             print this text
      --version          print the version

Exit status: 0 done, 1 some requests failed, 2 bad usage.
)";

struct Options {
  std::string address;
  double rate = 100.0;
  double seconds = 5.0;
  int tokens = 16;
  std::string model = "tab-writer";
};

struct Results {
  std::vector<double> first_ms;
  std::vector<double> total_ms;
  std::uint64_t tokens = 0;
  std::uint64_t errors = 0;
};

auto MillisecondsSince(SteadyClock::time_point start) -> double {
  return std::chrono::duration<double, std::milli>(SteadyClock::now() - start)
      .count();
}

auto Percentile(std::vector<double>& samples, double fraction) -> double {
  if (samples.empty()) {
    return 0.0;
  }
  std::sort(samples.begin(), samples.end());
  const auto last = static_cast<double>(samples.size() - 1);
  return samples[static_cast<std::size_t>(fraction * last)];
}

auto CountTokens(const std::string& body) -> std::uint64_t {
  auto count = std::uint64_t{0};
  constexpr auto kTextField = std::string_view("\"text\":\"");
  for (auto position = body.find(kTextField); position != std::string::npos;
       position = body.find(kTextField, position + 1)) {
    count += body[position + kTextField.size()] != '"' ? 1 : 0;
  }
  return count;
}

class Runner;

// One keep-alive connection that sends one request at a time.
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(asio::io_context& context, Runner& runner)
      : runner_(runner), stream_(context) {}

  auto Send(std::uint64_t number, SteadyClock::time_point due) -> void;

 private:
  auto Write() -> void;
  auto Read() -> void;
  auto Finish(bool failed) -> void;

  Runner& runner_;
  beast::tcp_stream stream_;
  bool connected_ = false;
  beast::flat_buffer buffer_;
  http::request<http::string_body> request_;
  std::unique_ptr<http::response_parser<http::string_body>> parser_;
  SteadyClock::time_point due_;
  bool first_seen_ = false;
};

// Starts requests at fixed times, whether or not earlier ones have finished.
class Runner {
 public:
  explicit Runner(const Options& options)
      : options_(options), timer_(context_) {
    const auto colon = options.address.rfind(':');
    endpoint_ = {asio::ip::make_address(options.address.substr(0, colon)),
                 static_cast<std::uint16_t>(
                     std::stoul(options.address.substr(colon + 1)))};
    if (!endpoint_.address().is_loopback()) {
      throw std::invalid_argument("only loopback addresses are allowed");
    }
  }

  auto Run() -> Results {
    start_ = SteadyClock::now();
    Schedule();
    context_.run();
    return std::move(results_);
  }

  auto options() const -> const Options& { return options_; }
  auto endpoint() const -> const asio::ip::tcp::endpoint& { return endpoint_; }
  auto results() -> Results& { return results_; }
  auto Release(std::shared_ptr<Connection> connection) -> void {
    idle_.push_back(std::move(connection));
  }

 private:
  auto Schedule() -> void {
    const auto total =
        static_cast<std::uint64_t>(options_.rate * options_.seconds);
    if (next_ >= total) {
      return;
    }
    const auto due =
        start_ + std::chrono::duration_cast<SteadyClock::duration>(
                     std::chrono::duration<double>(static_cast<double>(next_) /
                                                   options_.rate));
    timer_.expires_at(due);
    timer_.async_wait([this, due](const auto& error) {
      if (!error) {
        auto connection = std::make_shared<Connection>(context_, *this);
        if (!idle_.empty()) {
          connection = std::move(idle_.back());
          idle_.pop_back();
        }
        connection->Send(next_++, due);
        Schedule();
      }
    });
  }

  Options options_;
  asio::io_context context_{1};
  asio::steady_timer timer_;
  asio::ip::tcp::endpoint endpoint_;
  SteadyClock::time_point start_;
  std::uint64_t next_ = 0;
  std::deque<std::shared_ptr<Connection>> idle_;
  Results results_;
};

auto Connection::Send(std::uint64_t number, SteadyClock::time_point due)
    -> void {
  const auto& options = runner_.options();
  due_ = due;
  first_seen_ = false;
  auto body = nlohmann::json();
  body["model"] = options.model;
  body["stream"] = true;
  body["max_tokens"] = options.tokens;
  body["prompt"] = "request " + std::to_string(number);
  request_ = {http::verb::post, "/v1/completions", 11};
  request_.set(http::field::host, options.address);
  request_.set(http::field::content_type, "application/json");
  request_.body() = body.dump();
  request_.prepare_payload();
  parser_ = std::make_unique<http::response_parser<http::string_body>>();
  if (connected_) {
    Write();
    return;
  }
  stream_.async_connect(
      runner_.endpoint(), [self = shared_from_this()](const auto& error) {
        if (error) {
          self->Finish(true);
          return;
        }
        self->connected_ = true;
        self->stream_.socket().set_option(asio::ip::tcp::no_delay(true));
        self->Write();
      });
}

auto Connection::Write() -> void {
  http::async_write(stream_, request_,
                    [self = shared_from_this()](const auto& error, auto) {
                      if (error) {
                        self->Finish(true);
                      } else {
                        self->Read();
                      }
                    });
}

auto Connection::Read() -> void {
  http::async_read_some(stream_, buffer_, *parser_,
                        [self = shared_from_this()](const auto& error, auto) {
                          if (!self->first_seen_ &&
                              self->parser_->is_header_done() &&
                              !self->parser_->get().body().empty()) {
                            self->first_seen_ = true;
                            self->runner_.results().first_ms.push_back(
                                MillisecondsSince(self->due_));
                          }
                          if (error || self->parser_->is_done()) {
                            self->Finish(!self->parser_->is_done());
                          } else {
                            self->Read();
                          }
                        });
}

auto Connection::Finish(bool failed) -> void {
  auto& results = runner_.results();
  const auto complete =
      !failed && parser_->get().result() == http::status::ok &&
      parser_->get().body().find("[DONE]") != std::string::npos;
  if (!complete) {
    ++results.errors;
  } else {
    results.total_ms.push_back(MillisecondsSince(due_));
    results.tokens += CountTokens(parser_->get().body());
  }
  if (failed || !parser_->get().keep_alive()) {
    connected_ = false;
    auto ignored = boost::system::error_code();
    stream_.socket().close(ignored);
    buffer_.clear();
  }
  runner_.Release(shared_from_this());
}

// Returns the exit status if the program should exit at once.
auto ParseOptions(int argc, char** argv, Options& options)
    -> std::optional<int> {
  constexpr auto kAddress = 1;
  constexpr auto kRate = 2;
  constexpr auto kSeconds = 3;
  constexpr auto kTokens = 4;
  constexpr auto kModel = 5;
  constexpr auto kVersion = 6;
  const auto long_options =
      std::array<option, 8>{{{"address", required_argument, nullptr, kAddress},
                             {"rate", required_argument, nullptr, kRate},
                             {"seconds", required_argument, nullptr, kSeconds},
                             {"tokens", required_argument, nullptr, kTokens},
                             {"model", required_argument, nullptr, kModel},
                             {"version", no_argument, nullptr, kVersion},
                             {"help", no_argument, nullptr, 'h'},
                             {nullptr, 0, nullptr, 0}}};
  auto letter = 0;
  while ((letter = getopt_long(argc, argv, "h", long_options.data(),
                               nullptr)) != -1) {
    switch (letter) {
      case kAddress:
        options.address = optarg;
        break;
      case kRate:
        options.rate = std::stod(optarg);
        break;
      case kSeconds:
        options.seconds = std::stod(optarg);
        break;
      case kTokens:
        options.tokens = std::stoi(optarg);
        break;
      case kModel:
        options.model = optarg;
        break;
      case kVersion:
        std::cout << "kqg-bench " << KQG_VERSION << "\n";
        return 0;
      case 'h':
        std::cout << kUsage;
        return 0;
      default:
        return 2;
    }
  }
  if (options.address.empty() || options.rate <= 0.0) {
    std::cerr << "kqg-bench: give --address and a positive --rate; see "
                 "kqg-bench --help\n";
    return 2;
  }
  return std::nullopt;
}

}  // namespace

auto main(int argc, char** argv) -> int {
  auto options = Options();
  try {
    if (const auto status = ParseOptions(argc, argv, options)) {
      return *status;
    }
    auto results = Runner(options).Run();
    auto report = nlohmann::json();
    report["requests"] = results.total_ms.size() + results.errors;
    report["errors"] = results.errors;
    report["tokens"] = results.tokens;
    report["first_p50_ms"] = Percentile(results.first_ms, 0.5);
    report["first_p95_ms"] = Percentile(results.first_ms, 0.95);
    report["first_p99_ms"] = Percentile(results.first_ms, 0.99);
    report["total_p50_ms"] = Percentile(results.total_ms, 0.5);
    report["total_p99_ms"] = Percentile(results.total_ms, 0.99);
    std::cout << report.dump() << std::endl;
    return results.errors == 0 ? 0 : 1;
  } catch (const std::exception& error) {
    std::cerr << "kqg-bench: " << error.what() << "\n";
    return 2;
  }
}
