#include "testing/fake_engine/fake_engine.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <cstdlib>
#include <utility>

#include "testing/support/fake_tokens.h"

namespace kumquatgauge::testing {
namespace {

namespace asio = boost::asio;
using nlohmann::json;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr std::size_t kMaxCacheEvents = 10'000;
constexpr std::size_t kShownBytes = 200;  // Of a prompt in an execution record.
constexpr double kBytesPerKb = 1024.0;
constexpr std::uint64_t kBurstTokens = 64;
constexpr milliseconds kFrozenPoll{5};

auto ErrorBody(const std::string& message, const std::string& code)
    -> std::string {
  return json{{"error",
               {{"message", message},
                {"type", "engine_error"},
                {"param", nullptr},
                {"code", code}}}}
      .dump();
}

// JSON is built outside the coroutines: GCC 12 rejects initializer lists in
// them.
auto ExecutionsBody(const json& executions) -> std::string {
  return json{{"executions", executions}}.dump(-1, ' ', false,
                                               json::error_handler_t::replace);
}

auto CancelBody(bool found) -> std::string {
  return json{{"cancelled", found}}.dump();
}

auto FenceBody(std::uint64_t fence) -> std::string {
  return json{{"fence", fence}}.dump();
}

auto Scale(microseconds time, double factor) -> microseconds {
  return microseconds(
      static_cast<std::int64_t>(static_cast<double>(time.count()) * factor));
}

}  // namespace

// One completion from its arrival to its end.
struct FakeEngine::Job {
  explicit Job(asio::io_context& context) : timer(context) {}

  std::string request_id;
  std::string prompt;
  std::string model;
  bool chat = false;
  std::uint64_t length = 0;  // Tokens of the whole answer.
  bool natural_end = true;
  std::uint64_t first = 0;  // Offset of the first token to generate.
  std::uint64_t next = 0;
  std::uint64_t seq = 0;
  std::shared_ptr<HttpExchange> exchange;
  asio::steady_timer timer;
  bool admitted = false;
  bool stopped = false;
  std::string outcome;
  // The bytes of a token event around its text, up to the offset.
  std::string event_before_text;
  std::string event_after_text;
};

auto FakeEngine::ExecutionFields(const Job& job) -> json {
  return {{"kind", "completion"},
          {"request_id", job.request_id},
          {"model", job.model},
          {"prompt", job.prompt.substr(0, kShownBytes)},
          {"first_offset", job.first},
          {"length", job.length}};
}

auto FakeEngine::Event(const Job& job, const std::string& text) -> json {
  json choice{{"index", 0}, {"finish_reason", nullptr}};
  if (job.chat) {
    choice["delta"] = json::object();
    if (!text.empty()) {
      choice["delta"]["content"] = text;
    }
  } else {
    choice["text"] = text;
  }
  return {{"id", "fake-" + job.request_id},
          {"object", job.chat ? "chat.completion.chunk" : "text_completion"},
          {"created", 0},
          {"model", job.model},
          {"choices", json::array({choice})}};
}

// A fast engine must not spend its time on JSON: the bytes around the text and
// the offset are the same for every token of a stream, and the text of a fake
// token needs no escapes.
auto FakeEngine::AppendToken(Job& job, std::string& out) -> void {
  if (job.event_before_text.empty()) {
    const std::string mark = "@kqg-text@";
    auto event = Event(job, mark);
    event.erase("choices");
    const auto text = event.dump();
    const auto choices = Event(job, mark)["choices"].dump();
    const auto at = choices.find(mark);
    job.event_before_text = "data: " + text.substr(0, text.size() - 1) +
                            ",\"choices\":" + choices.substr(0, at);
    job.event_after_text =
        choices.substr(at + mark.size()) + ",\"kqg_offset\":";
  }
  out += job.event_before_text;
  out += FakeToken(job.prompt, job.next);
  out += job.event_after_text;
  out += std::to_string(job.next);
  out += "}\n\n";
}

auto FakeEngine::EndEvents(const Job& job) -> std::string {
  auto event = Event(job, "");
  event["choices"][0]["finish_reason"] = job.natural_end ? "stop" : "length";
  return "data: " + event.dump() + "\n\ndata: [DONE]\n\n";
}

FakeEngine::FakeEngine(asio::io_context& context,
                       FakeEngineSettings settings,
                       DieHook die)
    : context_(context),
      settings_(std::move(settings)),
      die_(std::move(die)),
      log_(settings_.record),
      cache_(settings_.cache_bytes,
             [this](bool stored, std::uint64_t hash) {
               cache_events_.push_back(
                   {steady_clock::now() + settings_.cache_event_delay,
                    ++cache_seq_, stored, hash});
               if (cache_events_.size() > kMaxCacheEvents) {
                 cache_events_.pop_front();
               }
             }),
      server_(context,
              settings_.listen,
              [this](HttpRequest request, Exchange exchange) {
                return Handle(std::move(request), std::move(exchange));
              }) {}

FakeEngine::~FakeEngine() = default;

auto FakeEngine::set_faults(const FakeEngineFaults& faults) -> void {
  faults_ = faults;
}

auto FakeEngine::Die() -> void {
  dead_ = true;
  if (die_) {
    die_();
  }
  server_.Close();
  const auto jobs = jobs_;
  for (const auto& job : jobs) {
    Stop(*job, "died");
  }
}

auto FakeEngine::Handle(HttpRequest request, Exchange exchange)
    -> asio::awaitable<void> {
  const auto path = request.path();
  const auto post = request.method == "POST";
  if (path == "/faults" && post) {
    const auto body = json::parse(request.body, nullptr, false);
    const auto valid = body.is_object();
    if (valid) {
      ReadFaults(body);
    }
    co_await exchange->Respond(valid ? 200 : 400, "{}");
    co_return;
  }
  if (path == "/executions") {
    co_await exchange->Respond(200, ExecutionsBody(executions()));
    co_return;
  }
  co_await WaitWhileFrozen();
  if (path == "/v1/completions" && post) {
    co_await Complete(std::move(request), exchange, false);
  } else if (path == "/v1/chat/completions" && post) {
    co_await Complete(std::move(request), exchange, true);
  } else if (path == "/load") {
    co_await exchange->Respond(200, Load().dump());
  } else if (path == "/cache/events") {
    const auto after =
        std::strtoull(request.query("after").c_str(), nullptr, 10);
    co_await exchange->Respond(200, CacheEvents(after).dump());
  } else if (path == "/orders" && post) {
    co_await Order(std::move(request), exchange);
  } else if (path.rfind("/cancel/", 0) == 0 && post) {
    const auto found = Cancel(path.substr(std::string("/cancel/").size()));
    co_await exchange->Respond(200, CancelBody(found));
  } else {
    co_await exchange->Respond(404, ErrorBody("no such endpoint", "not_found"));
  }
}

auto FakeEngine::Complete(HttpRequest request, Exchange exchange, bool chat)
    -> asio::awaitable<void> {
  const auto body = json::parse(request.body, nullptr, false);
  if (!body.is_object() ||
      !(body.contains("prompt") || body.contains("messages"))) {
    co_await exchange->Respond(400, ErrorBody("malformed body", "bad_body"));
    co_return;
  }
  auto job = std::make_shared<Job>(context_);
  job->request_id = request.header("x-request-id");
  job->prompt = FakePrompt(body);
  job->model = body.value("model", "");
  job->chat = chat;
  job->length = FakeLength(body);
  job->natural_end =
      !body.contains("max_tokens") && !body.contains("max_completion_tokens");
  job->exchange = exchange;
  if (job->prompt.find("[[kill engine]]") != std::string::npos) {
    log_.Begin(ExecutionFields(*job));
    Die();
    co_return;
  }
  if (job->prompt.find("[[bad item]]") != std::string::npos) {
    co_await exchange->Respond(400, ErrorBody("the item is bad", "bad_item"));
    co_return;
  }
  if (body.contains("kqg_resume")) {
    const auto& resume = body["kqg_resume"];
    job->first = resume.value("offset", std::uint64_t{0});
    const auto text = resume.value("text", "");
    if (job->first > job->length ||
        text != FakeAnswer(job->prompt, job->first)) {
      co_await exchange->Respond(
          400, ErrorBody("kqg_resume is not a prefix of the answer", "resume"));
      co_return;
    }
  }
  job->next = job->first;
  if (running_ >= settings_.capacity &&
      queue_.size() >= settings_.max_waiting) {
    co_await exchange->Respond(429, ErrorBody("queue is full", "overloaded"));
    co_return;
  }
  jobs_.insert(job);
  exchange->OnClose([this, weak = std::weak_ptr<Job>(job)] {
    if (const auto closed = weak.lock()) {
      Stop(*closed, "closed");
    }
  });
  const auto admitted = co_await Admit(job);
  if (admitted) {
    co_await Generate(job);
    --running_;
    StartWaiting();
    SampleLoad();
  }
  jobs_.erase(job);
}

auto FakeEngine::Admit(std::shared_ptr<Job> job) -> asio::awaitable<bool> {
  if (running_ < settings_.capacity) {
    ++running_;
    job->admitted = true;
  } else {
    queue_.push_back(job);
  }
  SampleLoad();
  while (!job->admitted && !job->stopped) {
    job->timer.expires_at(steady_clock::time_point::max());
    boost::system::error_code ignored;
    co_await job->timer.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
  }
  if (!job->admitted) {
    std::erase(queue_, job);
    SampleLoad();
    // Cancelled by request: the stream ends without [DONE].
    job->exchange->Abort();
  }
  co_return job->admitted;
}

auto FakeEngine::Generate(std::shared_ptr<Job> job) -> asio::awaitable<void> {
  job->seq = log_.Begin(ExecutionFields(*job));
  const auto first_token_time = FirstTokenTime(*job);
  co_await Sleep(job, first_token_time);
  const auto failed = job->prompt.find("[[engine error]]") != std::string::npos;
  if (failed && !job->stopped) {
    job->outcome = "failed";
    co_await job->exchange->Respond(500, ErrorBody("engine error", "internal"));
  } else if (!job->stopped) {
    co_await Sleep(job, faults_.late);
    co_await SendTokens(job);
  }
  if (job->stopped && !dead_) {
    job->exchange->Abort();
  }
  auto fields = json::object();
  fields["next_offset"] = job->next;
  log_.End(job->seq, job->outcome, fields);
}

auto FakeEngine::SendTokens(std::shared_ptr<Job> job) -> asio::awaitable<void> {
  const auto silent = faults_.drop_answers;
  if (!silent) {
    co_await job->exchange->StartEvents();
  }
  while (!job->stopped && job->next < job->length) {
    std::string bytes;
    const auto interval =
        Scale(settings_.token_time, Growth() * faults_.slow_factor);
    const auto burst = interval.count() == 0 ? kBurstTokens : 1;
    for (std::uint64_t i = 0; i < burst && job->next < job->length; ++i) {
      if (faults_.die_after_tokens == 0) {
        break;
      }
      if (faults_.refuse_after_tokens >= 0 &&
          job->next - job->first >=
              static_cast<std::uint64_t>(faults_.refuse_after_tokens)) {
        break;
      }
      faults_.die_after_tokens -= faults_.die_after_tokens > 0 ? 1 : 0;
      AppendToken(*job, bytes);
      ++job->next;
    }
    co_await WaitWhileFrozen();
    if (!silent && !bytes.empty()) {
      const auto sent = co_await job->exchange->Write(std::move(bytes));
      if (!sent) {
        Stop(*job, dead_ ? "died" : "closed");
        break;
      }
    }
    if (faults_.die_after_tokens == 0) {
      Die();
      co_return;
    }
    if (faults_.refuse_after_tokens >= 0 && job->next < job->length &&
        job->next - job->first >=
            static_cast<std::uint64_t>(faults_.refuse_after_tokens)) {
      job->outcome = "refused";
      co_await job->exchange->Write("data: " + ErrorBody("overloaded", "503") +
                                    "\n\n");
      co_await job->exchange->FinishEvents();
      co_return;
    }
    if (job->next < job->length) {
      co_await Sleep(job, interval);
    }
  }
  if (job->stopped) {
    co_return;
  }
  job->outcome = "completed";
  if (silent) {
    job->outcome = "dropped";
    job->exchange->Abort();
    co_return;
  }
  co_await job->exchange->Write(EndEvents(*job));
  co_await job->exchange->FinishEvents();
}

auto FakeEngine::Sleep(std::shared_ptr<Job> job, microseconds time)
    -> asio::awaitable<void> {
  if (time.count() > 0 && !job->stopped) {
    job->timer.expires_after(time);
    boost::system::error_code ignored;
    co_await job->timer.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
  }
  co_await WaitWhileFrozen();
}

auto FakeEngine::WaitWhileFrozen() -> asio::awaitable<void> {
  while (faults_.freeze && !dead_) {
    asio::steady_timer timer(context_, kFrozenPoll);
    boost::system::error_code ignored;
    co_await timer.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
  }
}

auto FakeEngine::Order(HttpRequest request, Exchange exchange)
    -> asio::awaitable<void> {
  const auto order = json::parse(request.body, nullptr, false);
  if (!order.is_object() || !order.contains("operation")) {
    co_await exchange->Respond(400, ErrorBody("malformed order", "bad_body"));
    co_return;
  }
  const auto fence = order.value("fence", std::uint64_t{0});
  auto record = order;
  record["kind"] = "order";
  const auto seq = log_.Begin(std::move(record));
  if (settings_.checks_fencing && fence < highest_fence_) {
    log_.End(seq, "refused", json::object());
    co_await exchange->Respond(409, FenceBody(highest_fence_));
    co_return;
  }
  highest_fence_ = std::max(highest_fence_, fence);
  const auto operation = order.value("operation", "");
  const auto repeated = operations_.count(operation) > 0;
  if (!repeated) {
    asio::steady_timer timer(context_,
                             Scale(settings_.order_time, faults_.slow_factor));
    boost::system::error_code ignored;
    co_await timer.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
    ApplyOrder(order);
    operations_.insert(operation);
  }
  log_.End(seq, repeated ? "repeated" : "completed", json::object());
  if (faults_.drop_answers) {
    exchange->Abort();
    co_return;
  }
  co_await exchange->Respond(200, FenceBody(highest_fence_));
}

auto FakeEngine::ApplyOrder(const json& order) -> void {
  const auto action = order.value("action", "");
  const auto model =
      order.value("model", "") + "@" + order.value("version", "");
  if (action == "role") {
    role_ = order.value("model", "");
    return;
  }
  std::erase(settings_.models, model);
  if (action == "load") {
    settings_.models.push_back(model);
  }
}

auto FakeEngine::Cancel(const std::string& request_id) -> bool {
  auto found = false;
  for (const auto& job : jobs_) {
    if (job->request_id == request_id && !job->stopped) {
      Stop(*job, "cancelled");
      found = true;
    }
  }
  return found;
}

auto FakeEngine::Load() -> json {
  const auto until = steady_clock::now() - settings_.load_lag;
  while (samples_.size() > 1 && samples_[1].time <= until) {
    samples_.pop_front();
  }
  const auto known = !samples_.empty() && samples_.front().time <= until;
  const auto sample = known ? samples_.front() : LoadSample{};
  return {{"running", sample.running},
          {"waiting", sample.waiting},
          {"capacity", settings_.capacity},
          {"kv_used", static_cast<double>(sample.running) /
                          std::max(1U, settings_.capacity)},
          {"age_ms", settings_.load_lag.count()},
          {"role", role_},
          {"models", settings_.models}};
}

auto FakeEngine::CacheEvents(std::uint64_t after) const -> json {
  const auto now = steady_clock::now();
  auto events = json::array();
  auto next = after;
  for (const auto& event : cache_events_) {
    if (event.seq <= after) {
      continue;
    }
    if (event.visible_from > now) {
      break;
    }
    next = event.seq;
    const auto missing = settings_.cache_event_gap > 0 &&
                         event.seq % settings_.cache_event_gap == 0;
    if (!missing) {
      events.push_back({{"seq", event.seq},
                        {"kind", event.stored ? "stored" : "evicted"},
                        {"hash", event.hash}});
    }
  }
  return {{"events", events}, {"next", next}};
}

auto FakeEngine::ReadFaults(const json& body) -> void {
  FakeEngineFaults faults;
  faults.die_after_tokens =
      body.value("die_after_tokens", faults.die_after_tokens);
  faults.refuse_after_tokens =
      body.value("refuse_after_tokens", faults.refuse_after_tokens);
  faults.freeze = body.value("freeze", faults.freeze);
  faults.slow_factor = body.value("slow_factor", faults.slow_factor);
  faults.drop_answers = body.value("drop_answers", faults.drop_answers);
  faults.late = milliseconds(body.value("late_ms", 0));
  set_faults(faults);
}

auto FakeEngine::Stop(Job& job, const std::string& outcome) -> void {
  if (!job.stopped) {
    job.stopped = true;
    job.outcome = outcome;
    job.timer.cancel();
  }
}

auto FakeEngine::StartWaiting() -> void {
  while (running_ < settings_.capacity && !queue_.empty()) {
    auto job = queue_.front();
    queue_.pop_front();
    if (!job->stopped) {
      ++running_;
      job->admitted = true;
      job->timer.cancel();
    }
  }
}

auto FakeEngine::SampleLoad() -> void {
  samples_.push_back({steady_clock::now(), running_,
                      static_cast<std::uint32_t>(queue_.size())});
  Load();  // Drops the samples that are no longer needed.
}

auto FakeEngine::Growth() const -> double {
  const auto others = running_ > 1 ? running_ - 1 : 0;
  return 1.0 + settings_.growth * static_cast<double>(others);
}

auto FakeEngine::FirstTokenTime(const Job& job) -> microseconds {
  const auto cached = cache_.Touch(job.prompt);
  const auto uncached_kb =
      static_cast<double>(job.prompt.size() - cached) / kBytesPerKb;
  const auto time = settings_.first_token_time +
                    Scale(settings_.prefill_time_per_kb, uncached_kb);
  return Scale(time, Growth() * faults_.slow_factor);
}

}  // namespace kumquatgauge::testing
