#include "testing/scenario/load.h"

#include <algorithm>
#include <cmath>
#include <sstream>
#include <utility>

#include "testing/scenario/http_fetch.h"
#include "testing/support/fake_tokens.h"

namespace kumquatgauge::testing {
namespace {

using SteadyClock = std::chrono::steady_clock;

constexpr auto kAddressTimeout = std::chrono::milliseconds(1'000);
constexpr auto kDefaultRetryDelay = std::chrono::milliseconds(100);
constexpr auto kStatusOk = 200;

auto Header(const FetchReply& reply, const std::string& name) -> std::string {
  const auto found = reply.headers.find(name);
  return found == reply.headers.end() ? std::string() : found->second;
}

auto RetryAfter(const FetchReply& reply) -> std::chrono::milliseconds {
  const auto text = Header(reply, "retry-after");
  return text.empty() ? kDefaultRetryDelay
                      : std::chrono::milliseconds(std::stoul(text) * 1'000);
}

// The text of a stream of completion chunks; `done` is set if it was complete.
auto StreamText(const std::string& body, bool& done) -> std::string {
  auto text = std::string();
  auto lines = std::istringstream(body);
  for (auto line = std::string(); std::getline(lines, line);) {
    if (line.starts_with("data: [DONE]")) {
      done = true;
    } else if (line.starts_with("data: {")) {
      const auto chunk = nlohmann::json::parse(line.substr(6), nullptr, false);
      if (chunk.is_object() && chunk.contains("choices") &&
          !chunk["choices"].empty()) {
        text += chunk["choices"][0].value("text", std::string());
      }
    }
  }
  return text;
}

auto Percentile(std::vector<double> figures, double share) -> double {
  if (figures.empty()) {
    return 0.0;
  }
  std::sort(figures.begin(), figures.end());
  const auto rank = static_cast<std::size_t>(
      std::lround(share * static_cast<double>(figures.size() - 1)));
  return figures[std::min(rank, figures.size() - 1)];
}

}  // namespace

Load::Load(LoadSpec spec, std::vector<std::string> entry_nodes)
    : spec_(std::move(spec)),
      entry_nodes_(std::move(entry_nodes)),
      thread_([this] { RunCallers(); }) {}

Load::~Load() {
  Join();
}

auto Load::Join() -> void {
  if (thread_.joinable()) {
    thread_.join();
  }
}

auto Load::RunCallers() -> void {
  const auto start = SteadyClock::now();
  const auto gap = std::chrono::duration<double>(1.0 / spec_.rate);
  auto callers = std::vector<std::thread>();
  for (auto number = std::size_t{0}; number < spec_.count; ++number) {
    std::this_thread::sleep_until(
        start + std::chrono::duration_cast<SteadyClock::duration>(
                    gap * static_cast<double>(number)));
    callers.emplace_back([this, number] { RunOne(number); });
  }
  for (auto& caller : callers) {
    caller.join();
  }
}

auto Load::RunOne(std::size_t number) -> void {
  const auto start = SteadyClock::now();
  auto result =
      spec_.kind == LoadKind::kCompletions ? Complete(number) : Pay(number);
  result.total_ms =
      std::chrono::duration<double, std::milli>(SteadyClock::now() - start)
          .count();
  const auto lock = std::lock_guard(mutex_);
  results_.push_back(std::move(result));
}

auto Load::FetchAddresses(std::size_t number) const -> nlohmann::json {
  for (auto index = std::size_t{0}; index < entry_nodes_.size(); ++index) {
    const auto reply =
        Fetch({.address = entry_nodes_[(number + index) % entry_nodes_.size()],
               .target = "/v1/addresses",
               .timeout = kAddressTimeout});
    if (reply.complete && reply.status == kStatusOk) {
      return nlohmann::json::parse(reply.body);
    }
  }
  return nullptr;
}

auto Load::Complete(std::size_t number) -> Result {
  const auto prompt = "request " + std::to_string(number) + " of " + spec_.name;
  const auto expected = FakeAnswer(prompt, spec_.tokens);
  auto body = nlohmann::json();
  body["model"] = "tab-writer";
  body["stream"] = true;
  body["prompt"] = prompt;
  body["max_tokens"] = spec_.tokens;
  auto result = Result{.outcome = "broken"};
  const auto deadline = SteadyClock::now() + spec_.deadline;
  while (SteadyClock::now() < deadline) {
    ++result.tries;
    const auto answer = FetchAddresses(number + result.tries);
    if (!answer.is_object() || answer["addresses"].empty()) {
      std::this_thread::sleep_for(kDefaultRetryDelay);
      continue;
    }
    const auto reply =
        Fetch({.address = answer["addresses"][0],
               .method = "POST",
               .target = "/v1/completions",
               .headers = {{"Content-Type", "application/json"},
                           {"KQG-Organisation", spec_.organisation},
                           {"X-Request-Id",
                            spec_.name + "-" + std::to_string(number)}},
               .body = body.dump(),
               .timeout = spec_.deadline});
    result.first_byte_ms = reply.first_byte_ms.value_or(0.0);
    auto done = false;
    const auto text = StreamText(reply.body, done);
    if (reply.status == kStatusOk && done) {
      result.outcome = text == expected ? "completed" : "wrong";
      return result;
    }
    if (!expected.starts_with(text)) {
      result.outcome = "wrong";
      return result;
    }
    const auto outcome = Header(reply, "kqg-outcome");
    constexpr auto kDetailBytes = std::size_t{300};
    result.detail = reply.body.substr(
        reply.body.size() - std::min(reply.body.size(), kDetailBytes));
    result.outcome =
        reply.complete && reply.status != kStatusOk && !outcome.empty()
            ? outcome
            : "broken";
    if (result.outcome == "not_run") {
      std::this_thread::sleep_for(RetryAfter(reply));
    } else if (reply.connected) {
      // A stream that broke off or any other outcome is not retried here, so
      // that the figures show what one request got.
      return result;
    }
  }
  return result;
}

auto Load::Pay(std::size_t number) -> Result {
  auto result = Result{.outcome = "broken"};
  result.key = spec_.name + "-" + std::to_string(number);
  const auto answer = FetchAddresses(number);
  if (!answer.is_object() || answer["addresses"].empty()) {
    return result;
  }
  auto request = FetchRequest{
      .method = "POST",
      .target = "/v1/services/payments/confirm",
      .headers = {{"KQG-Organisation", spec_.organisation},
                  {"Idempotency-Key", result.key},
                  {"KQG-Deadline-Ms", std::to_string(spec_.deadline.count())}},
      .body = "{\"payment\":" + std::to_string(number) + "}",
      .timeout = spec_.deadline};
  if (spec_.ticket) {
    request.headers["KQG-Ticket"] = answer["ticket"];
  }
  const auto& addresses = answer["addresses"];
  for (auto round = std::size_t{0}; round <= spec_.resends; ++round) {
    ++result.tries;
    request.address = addresses[round % addresses.size()];
    const auto reply = Fetch(request);
    const auto outcome = Header(reply, "kqg-outcome");
    if (!reply.complete || outcome.empty()) {
      // No outcome was received; that of an earlier round still holds.
      continue;
    }
    // After the outcome "completed", no later answer may say "not run".
    if (outcome == "not_run" && result.outcome == "completed") {
      result.outcome = "wrong";
      return result;
    }
    if (result.outcome != "completed") {
      result.outcome = outcome;
    }
  }
  return result;
}

auto Load::Row() const -> nlohmann::json {
  const auto lock = std::lock_guard(mutex_);
  auto row = nlohmann::json();
  for (const auto* outcome : {"completed", "not_run", "unknown", "failed",
                              "cancelled", "broken", "wrong"}) {
    row[outcome] = std::count_if(
        results_.begin(), results_.end(),
        [outcome](const auto& result) { return result.outcome == outcome; });
  }
  auto first = std::vector<double>();
  auto total = std::vector<double>();
  auto tries = std::size_t{0};
  for (const auto& result : results_) {
    tries += result.tries;
    if (result.outcome != "completed") {
      row["example"] = result.detail;
    }
    if (result.outcome == "completed") {
      first.push_back(result.first_byte_ms);
      total.push_back(result.total_ms);
    }
  }
  row["sent"] = results_.size();
  row["tries"] = tries;
  row["first_p95_ms"] = Percentile(first, 0.95);
  row["total_p50_ms"] = Percentile(total, 0.5);
  row["total_p99_ms"] = Percentile(total, 0.99);
  return row;
}

auto Load::keys_not_run() const -> std::set<std::string> {
  const auto lock = std::lock_guard(mutex_);
  auto keys = std::set<std::string>();
  for (const auto& result : results_) {
    if (result.outcome == "not_run" && !result.key.empty()) {
      keys.insert(result.key);
    }
  }
  return keys;
}

}  // namespace kumquatgauge::testing
