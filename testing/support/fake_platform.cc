#include "testing/support/fake_platform.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <cmath>
#include <list>
#include <map>
#include <nlohmann/json.hpp>
#include <random>

#include "kumquatgauge/base/error.h"
#include "testing/support/platform_state.h"

namespace kumquatgauge::testing {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::awaitable;
using asio::ip::tcp;
using boost::system::error_code;
using nlohmann::json;
using Request = http::request<http::string_body>;
using Milliseconds = std::chrono::milliseconds;

constexpr auto kAwaitTuple = asio::as_tuple(asio::use_awaitable);
constexpr auto kModes = std::array<std::string_view, 5>{
    "outage", "slow", "lose_answers", "lag", "stale"};
constexpr auto kObjects = std::string_view("/objects/");
constexpr auto kDefaultListLimit = std::size_t{1000};
constexpr auto kDefaultWatchTimeout = Milliseconds(30'000);

struct Answer {
  int status = 200;
  std::string body;
  std::uint64_t version = 0;
  std::optional<std::uint64_t> retry_after_s;
};

auto JsonAnswer(const json& body, int status = 200) -> Answer {
  auto answer = Answer();
  answer.status = status;
  answer.body = body.dump();
  return answer;
}

auto ErrorAnswer(int status, const std::string& message) -> Answer {
  return JsonAnswer({{"error", message}}, status);
}

auto Decode(std::string_view text) -> std::string {
  auto decoded = std::string();
  for (std::size_t i = 0; i < text.size(); ++i) {
    auto byte = 0U;
    const auto* digits = text.data() + i + 1;
    if (text[i] == '%' && i + 2 < text.size() &&
        std::from_chars(digits, digits + 2, byte, 16).ptr == digits + 2) {
      decoded += static_cast<char>(byte);
      i += 2;
    } else {
      decoded += text[i];
    }
  }
  return decoded;
}

// A request target split into its path and decoded query parameters.
struct Target {
  explicit Target(std::string_view text) {
    const auto mark = text.find('?');
    path = std::string(text.substr(0, mark));
    while (mark != std::string_view::npos && !text.empty()) {
      text.remove_prefix(std::min(text.size(), text.find_first_of("?&") + 1));
      const auto pair = text.substr(0, text.find('&'));
      const auto equals = pair.find('=');
      if (equals != std::string_view::npos) {
        query[std::string(pair.substr(0, equals))] =
            Decode(pair.substr(equals + 1));
      }
      if (text.find('&') == std::string_view::npos) {
        break;
      }
    }
  }

  auto Number(const std::string& name, std::uint64_t fallback) const
      -> std::uint64_t {
    const auto found = query.find(name);
    return found == query.end() ? fallback : std::stoull(found->second);
  }
  auto Text(const std::string& name) const -> std::string {
    const auto found = query.find(name);
    return found == query.end() ? "" : found->second;
  }

  std::string path;
  std::map<std::string, std::string> query;
};

// A token bucket of one second's worth of calls.
struct Bucket {
  auto Take(MonotonicTime now) -> bool {
    const auto elapsed = std::chrono::duration<double>(now - refilled).count();
    tokens = std::min(std::max(1.0, rate), tokens + elapsed * rate);
    refilled = now;
    if (tokens < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }

  double rate;
  double tokens;
  MonotonicTime refilled;
};

struct Fault {
  json settings;
  MonotonicTime until = MonotonicTime::max();
};

auto ParseListen(const std::string& listen) -> tcp::endpoint {
  const auto colon = listen.rfind(':');
  auto error = error_code();
  auto port = 0;
  if (colon != std::string::npos) {
    const auto ip = asio::ip::make_address(listen.substr(0, colon), error);
    const auto* end = listen.data() + listen.size();
    const auto parsed = std::from_chars(listen.data() + colon + 1, end, port);
    if (!error && parsed.ptr == end && port >= 0 && port <= 65535) {
      return {ip, static_cast<std::uint16_t>(port)};
    }
  }
  throw Error(ErrorKind::kInvalidArgument, "not a listen address", listen,
              "use IP:port, with port 0 for any free one");
}

auto Now() -> MonotonicTime {
  return std::chrono::steady_clock::now();
}

}  // namespace

class FakePlatform::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::any_io_executor executor, const FakePlatformOptions& options)
      : executor_(std::move(executor)),
        acceptor_(executor_, ParseListen(options.listen)),
        random_(options.seed),
        host_lag_(options.host_lag),
        reads_{options.reads_per_second, options.reads_per_second, Now()},
        writes_{options.writes_per_second, options.writes_per_second, Now()},
        weights_{options.weights_per_second, 1, Now()} {}

  auto Start() -> void {
    asio::co_spawn(executor_, Accept(shared_from_this()), asio::detached);
  }

  auto Stop() -> void {
    auto error = error_code();
    acceptor_.close(error);
    for (const auto& weak : sessions_) {
      if (const auto socket = weak.lock()) {
        socket->close(error);
      }
    }
    WakeWatchers("");
  }

  auto address() const -> std::string {
    const auto endpoint = acceptor_.local_endpoint();
    return endpoint.address().to_string() + ":" +
           std::to_string(endpoint.port());
  }

  auto accepted_connections() const -> std::size_t {
    return accepted_connections_;
  }

  auto SetFault(const json& fault) -> void {
    const auto mode = fault.at("mode").get<std::string>();
    if (mode == "none") {
      faults_.clear();
      return;
    }
    if (mode == "reset") {
      state_.Clear();
      WakeWatchers("");
      return;
    }
    if (mode == "rates") {
      SetRate(reads_, fault, "reads_per_second");
      SetRate(writes_, fault, "writes_per_second");
      SetRate(weights_, fault, "weights_per_second");
      return;
    }
    if (std::find(kModes.begin(), kModes.end(), mode) == kModes.end()) {
      throw Error(ErrorKind::kInvalidArgument, "unknown fault mode", mode,
                  "use outage, slow, lose_answers, lag, stale, rates, reset or "
                  "none");
    }
    const auto duration = fault.value("duration_ms", std::int64_t{0});
    faults_[mode] = {fault, duration > 0 ? Now() + Milliseconds(duration)
                                         : MonotonicTime::max()};
    WakeWatchers("");
  }

  auto SetHosts(const json& hosts) -> void { state_.SetHosts(hosts, Now()); }

  auto Stats() const -> json {
    return {{"calls", calls_},
            {"watches_waiting", watchers_.size()},
            {"refused_429", refused_},
            {"lost_answers", lost_answers_},
            {"stale_reads", stale_reads_},
            {"during_outage", during_outage_},
            {"revision", state_.revision()},
            {"objects", state_.object_count()}};
  }

  auto Value(const std::string& key) const -> std::optional<std::string> {
    const auto found = state_.Get(key, MonotonicTime::max());
    return found ? std::optional(found->value) : std::nullopt;
  }

 private:
  struct Watcher {
    std::string prefix;
    asio::steady_timer timer;
  };

  static auto Accept(std::shared_ptr<Impl> self) -> awaitable<void> {
    while (self->acceptor_.is_open()) {
      auto [error, socket] = co_await self->acceptor_.async_accept(kAwaitTuple);
      if (error) {
        co_await self->Sleep(Milliseconds(10));  // For example EMFILE.
        continue;
      }
      ++self->accepted_connections_;
      auto shared = std::make_shared<tcp::socket>(std::move(socket));
      std::erase_if(self->sessions_,
                    [](const auto& weak) { return weak.expired(); });
      self->sessions_.push_back(shared);
      asio::co_spawn(self->executor_, Serve(self, std::move(shared)),
                     asio::detached);
    }
  }

  static auto Serve(std::shared_ptr<Impl> self,
                    std::shared_ptr<tcp::socket> socket) -> awaitable<void> {
    auto buffer = boost::beast::flat_buffer();
    auto option_error = error_code();
    socket->set_option(tcp::no_delay(true), option_error);
    while (true) {
      auto parser = http::request_parser<http::string_body>();
      parser.body_limit(2 * store::kMaxValueBytes);
      const auto [read_error, read] =
          co_await http::async_read(*socket, buffer, parser, kAwaitTuple);
      if (read_error) {
        co_return;
      }
      const auto request = parser.release();
      auto answer = std::optional<Answer>();
      try {
        answer = co_await self->Handle(request, socket);
      } catch (const std::exception& error) {
        answer = ErrorAnswer(400, error.what());
      }
      if (!answer) {
        socket->close(option_error);
        co_return;
      }
      auto response = http::response<http::string_body>(
          static_cast<http::status>(answer->status), 11);
      response.set(http::field::content_type, "application/json");
      if (answer->version > 0) {
        response.set("X-Version", std::to_string(answer->version));
      }
      if (answer->retry_after_s) {
        response.set(http::field::retry_after,
                     std::to_string(*answer->retry_after_s));
      }
      response.keep_alive(request.keep_alive());
      response.body() = std::move(answer->body);
      response.prepare_payload();
      const auto [write_error, written] =
          co_await http::async_write(*socket, response, kAwaitTuple);
      if (write_error || !response.keep_alive()) {
        co_return;
      }
    }
  }

  auto ActiveFault(const std::string& mode) -> const json* {
    const auto found = faults_.find(mode);
    if (found == faults_.end()) {
      return nullptr;
    }
    if (found->second.until <= Now()) {
      faults_.erase(found);
      return nullptr;
    }
    return &found->second.settings;
  }

  auto Chance(const json& fault) -> bool {
    const auto share = fault.value("share", 1.0);
    return std::uniform_real_distribution<double>(0, 1)(random_) < share;
  }

  static auto SetRate(Bucket& bucket, const json& fault, const char* name)
      -> void {
    if (fault.contains(name)) {
      bucket.rate = fault.at(name).get<double>();
      bucket.tokens = std::min(bucket.tokens, bucket.rate);
    }
  }

  auto Sleep(Milliseconds duration) -> awaitable<void> {
    auto timer = asio::steady_timer(executor_, duration);
    co_await timer.async_wait(kAwaitTuple);
  }

  // Answers a call; without a value the connection closes without an answer.
  auto Handle(const Request& request, std::shared_ptr<tcp::socket> socket)
      -> awaitable<std::optional<Answer>> {
    const auto target = Target(std::string_view(request.target()));
    if (auto answer = HandleControl(request, target)) {
      co_return answer;
    }
    if (ActiveFault("outage") != nullptr) {
      co_return co_await AnswerOutage(socket);
    }
    if (const auto* slow = ActiveFault("slow");
        slow != nullptr && !slow->value("after_effect", false)) {
      co_await Sleep(Milliseconds(slow->at("delay_ms").get<std::int64_t>()));
    }
    const auto is_write = request.method() != http::verb::get;
    auto answer = Refuse(is_write, target);
    if (!answer && target.path == "/watch") {
      answer = co_await HandleWatch(target);
      if (!answer) {
        co_return co_await AnswerOutage(socket);
      }
    }
    if (!answer) {
      answer = HandleCall(request, target);
    }
    if (is_write && LosesAnswer(target)) {
      ++lost_answers_;
      co_return std::nullopt;
    }
    if (const auto* slow = ActiveFault("slow");
        slow != nullptr && slow->value("after_effect", false)) {
      co_await Sleep(Milliseconds(slow->at("delay_ms").get<std::int64_t>()));
    }
    co_return answer;
  }

  auto LosesAnswer(const Target& target) -> bool {
    const auto* fault = ActiveFault("lose_answers");
    return fault != nullptr &&
           target.path.starts_with("/objects/" + fault->value("prefix", "")) &&
           Chance(*fault);
  }

  auto AnswerOutage(std::shared_ptr<tcp::socket> socket)
      -> awaitable<std::optional<Answer>> {
    ++during_outage_;
    const auto* outage = ActiveFault("outage");
    const auto kind =
        outage == nullptr ? "close" : outage->value("kind", "close");
    if (kind == "error") {
      co_return ErrorAnswer(503, "outage");
    }
    if (kind == "hang") {
      // Silent until the client gives up and closes the connection.
      co_await socket->async_wait(tcp::socket::wait_read, kAwaitTuple);
    }
    co_return std::nullopt;
  }

  auto HandleControl(const Request& request, const Target& target)
      -> std::optional<Answer> {
    if (target.path == "/faults" && request.method() == http::verb::post) {
      SetFault(json::parse(request.body()));
      return JsonAnswer(json::object());
    }
    if (target.path == "/stats") {
      return JsonAnswer(Stats());
    }
    if (target.path == "/hosts" && request.method() == http::verb::put) {
      const auto body = json::parse(request.body());
      SetHosts(body.is_array() ? body : body.at("hosts"));
      return JsonAnswer(json::object());
    }
    return std::nullopt;
  }

  // Counts the call and answers 429 when its rate is exceeded.
  auto Refuse(bool is_write, const Target& target) -> std::optional<Answer> {
    const auto is_weight = target.path.starts_with("/weights/");
    const auto kind = is_weight                   ? "weights"
                      : is_write                  ? "write"
                      : target.path == "/watch"   ? "watch"
                      : target.path == "/hosts"   ? "hosts"
                      : target.path == "/objects" ? "list"
                                                  : "read";
    ++calls_[kind];
    auto& bucket = is_weight ? weights_ : is_write ? writes_ : reads_;
    if (bucket.Take(Now())) {
      return std::nullopt;
    }
    ++refused_;
    auto answer = ErrorAnswer(429, "rate exceeded");
    const auto wait = (1 - bucket.tokens) / std::max(bucket.rate, 0.001);
    answer.retry_after_s = static_cast<std::uint64_t>(std::ceil(wait));
    return answer;
  }

  // Returns no value when an outage interrupts the watch.
  auto HandleWatch(const Target& target) -> awaitable<std::optional<Answer>> {
    const auto prefix = target.Text("prefix");
    const auto since = target.Number("since", 0);
    const auto timeout = Milliseconds(target.Number(
        "timeout_ms",
        static_cast<std::uint64_t>(kDefaultWatchTimeout.count())));
    const auto deadline = Now() + timeout;
    watchers_.push_back({prefix, asio::steady_timer(executor_)});
    const auto watcher = std::prev(watchers_.end());
    auto batch = state_.Events(prefix, since);
    // A revision below `since` means that the platform was reset.
    while (batch.events.empty() && batch.revision >= since &&
           Now() < deadline && acceptor_.is_open() &&
           ActiveFault("outage") == nullptr) {
      watcher->timer.expires_at(deadline);
      co_await watcher->timer.async_wait(kAwaitTuple);
      batch = state_.Events(prefix, since);
    }
    watchers_.erase(watcher);
    if (ActiveFault("outage") != nullptr) {
      co_return std::nullopt;
    }
    auto events = json::array();
    for (const auto& event : batch.events) {
      events.push_back({{"key", event.key},
                        {"version", event.version},
                        {"revision", event.revision}});
    }
    co_return JsonAnswer({{"events", events}, {"revision", batch.revision}});
  }

  auto WakeWatchers(const std::string& key) -> void {
    for (auto& watcher : watchers_) {
      if (key.empty() || key.starts_with(watcher.prefix)) {
        watcher.timer.cancel();
      }
    }
  }

  auto ReadTime() -> MonotonicTime {
    const auto* stale = ActiveFault("stale");
    if (stale == nullptr || !Chance(*stale)) {
      return Now();
    }
    ++stale_reads_;
    return Now() - Milliseconds(stale->at("by_ms").get<std::int64_t>());
  }

  auto HandleCall(const Request& request, const Target& target) -> Answer {
    if (target.path.starts_with(kObjects)) {
      return HandleObject(request, Decode(target.path.substr(kObjects.size())));
    }
    if (target.path == "/objects") {
      return HandleList(target);
    }
    if (target.path == "/hosts") {
      const auto* lag = ActiveFault("lag");
      const auto by = lag == nullptr
                          ? host_lag_
                          : Milliseconds(lag->at("lag_ms").get<std::int64_t>());
      return JsonAnswer(state_.Hosts(Now() - by));
    }
    if (target.path.starts_with("/weights/")) {
      return JsonAnswer({{"name", Decode(target.path.substr(9))}});
    }
    return ErrorAnswer(404, "no such path");
  }

  auto HandleList(const Target& target) -> Answer {
    const auto page = state_.List(target.Text("prefix"), target.Text("after"),
                                  target.Number("limit", kDefaultListLimit));
    auto objects = json::array();
    for (const auto& entry : page.entries) {
      objects.push_back({{"key", entry.key}, {"version", entry.version}});
    }
    return JsonAnswer({{"objects", objects}, {"revision", page.revision}});
  }

  auto HandleObject(const Request& request, const std::string& key) -> Answer {
    if (request.method() == http::verb::get) {
      auto found = state_.Get(key, ReadTime());
      if (!found) {
        return ErrorAnswer(404, "no such object");
      }
      auto answer = Answer();
      answer.body = std::move(found->value);
      answer.version = found->version;
      return answer;
    }
    auto expected = std::optional<std::uint64_t>();
    if (const auto match = request[http::field::if_match]; !match.empty()) {
      expected = std::stoull(std::string(match));
    }
    const auto creates = request[http::field::if_none_match] == "*";
    auto result = PlatformState::Result();
    if (request.method() == http::verb::put) {
      if (!expected && !creates) {
        return ErrorAnswer(400, "If-Match or If-None-Match: * is missing");
      }
      if (request.body().size() > store::kMaxValueBytes) {
        return ErrorAnswer(413, "value too large");
      }
      result = state_.Put(key, request.body(), expected, Now());
    } else if (request.method() == http::verb::delete_) {
      result = state_.Remove(key, expected, Now());
    } else {
      return ErrorAnswer(405, "use GET, PUT or DELETE");
    }
    if (result.change == PlatformState::Change::kNotFound) {
      return ErrorAnswer(404, "no such object");
    }
    if (result.change == PlatformState::Change::kVersionDiffers) {
      return JsonAnswer({{"version", result.version}}, 412);
    }
    WakeWatchers(key);
    return JsonAnswer({{"version", result.version}});
  }

  asio::any_io_executor executor_;
  tcp::acceptor acceptor_;
  std::size_t accepted_connections_ = 0;
  std::list<std::weak_ptr<tcp::socket>> sessions_;
  std::list<Watcher> watchers_;
  PlatformState state_;
  std::map<std::string, Fault> faults_;
  std::mt19937_64 random_;
  Milliseconds host_lag_;
  Bucket reads_;
  Bucket writes_;
  Bucket weights_;
  std::map<std::string, std::uint64_t> calls_;
  std::uint64_t refused_ = 0;
  std::uint64_t lost_answers_ = 0;
  std::uint64_t stale_reads_ = 0;
  std::uint64_t during_outage_ = 0;
};

FakePlatform::FakePlatform(const asio::any_io_executor& executor,
                           const FakePlatformOptions& options)
    : impl_(std::make_shared<Impl>(executor, options)) {
  impl_->Start();
}

FakePlatform::~FakePlatform() {
  Stop();
}

auto FakePlatform::address() const -> std::string {
  return impl_->address();
}

auto FakePlatform::accepted_connections() const -> std::size_t {
  return impl_->accepted_connections();
}

auto FakePlatform::SetFault(const json& fault) -> void {
  impl_->SetFault(fault);
}

auto FakePlatform::SetHosts(const json& hosts) -> void {
  impl_->SetHosts(hosts);
}

auto FakePlatform::Stats() const -> json {
  return impl_->Stats();
}

auto FakePlatform::Value(const std::string& key) const
    -> std::optional<std::string> {
  return impl_->Value(key);
}

auto FakePlatform::Stop() -> void {
  impl_->Stop();
}

}  // namespace kumquatgauge::testing
