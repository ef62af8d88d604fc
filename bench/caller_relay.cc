// Tokens per second that one core relays from engines to callers. Engines and
// callers run on their own threads; the figure is the number of tokens divided
// by the CPU time of the relaying thread alone.
#include <boost/asio.hpp>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "kumquatgauge/caller/caller_server.h"
#include "kumquatgauge/upstream/http_engine_client.h"
#include "testing/fake_engine/fake_engine.h"
#include "testing/support/fake_backend.h"

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using kumquatgauge::caller::CompletionEnd;
using kumquatgauge::testing::FakeEngine;
using kumquatgauge::upstream::HttpEngineClient;
using kumquatgauge::upstream::StreamEnd;

// A fake engine on one core is slower than the relay.
constexpr int kEngines = 4;
constexpr double kNanoseconds = 1e9;
constexpr std::size_t kTailBytes = 200;

struct Load {
  const char* name;
  int streams;
  std::uint64_t tokens_per_stream;
  std::chrono::microseconds token_time;
};

auto ThreadCpuSeconds(pthread_t thread) -> double {
  clockid_t clock = 0;
  timespec time{};
  pthread_getcpuclockid(thread, &clock);
  clock_gettime(clock, &time);
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) / kNanoseconds;
}

// Requests one stream and reads it to its end; counts the tokens.
auto RunCaller(std::string address, std::uint64_t tokens, std::uint64_t& total)
    -> asio::awaitable<void> {
  const auto executor = co_await asio::this_coro::executor;
  tcp::socket socket(executor);
  const auto colon = address.rfind(':');
  const tcp::endpoint endpoint(
      asio::ip::make_address(address.substr(0, colon)),
      static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1))));
  co_await socket.async_connect(endpoint, asio::use_awaitable);
  const auto body =
      R"({"model":"small","stream":true,"prompt":"p","max_tokens":)" +
      std::to_string(tokens) + "}";
  const auto request = "POST /v1/completions HTTP/1.1\r\nContent-Length: " +
                       std::to_string(body.size()) +
                       "\r\nConnection: close\r\n\r\n" + body;
  co_await asio::async_write(socket, asio::buffer(request),
                             asio::use_awaitable);
  std::vector<char> bytes(1U << 16U);
  std::string tail;
  boost::system::error_code error;
  while (!error) {
    const auto size = co_await socket.async_read_some(
        asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
    tail.append(bytes.data(), size);
    if (tail.size() > kTailBytes) {
      tail.erase(0, tail.size() - kTailBytes);
    }
  }
  if (tail.find("KQG-Outcome: completed") != std::string::npos) {
    total += tokens;
  } else {
    std::fprintf(stderr, "stream not completed: %s\n", tail.c_str());
  }
}

auto Run(const Load& load) -> bool {
  std::vector<std::unique_ptr<asio::io_context>> engine_contexts;
  asio::io_context relay_context(1);
  asio::io_context caller_context(1);
  kumquatgauge::testing::FakeEngineSettings settings;
  settings.capacity = static_cast<std::uint32_t>(load.streams);
  settings.first_token_time = std::chrono::microseconds(0);
  settings.token_time = load.token_time;
  settings.growth = 0.0;
  std::vector<std::unique_ptr<FakeEngine>> engines;
  for (auto i = 0; i < kEngines; ++i) {
    engine_contexts.push_back(std::make_unique<asio::io_context>(1));
    engines.push_back(
        std::make_unique<FakeEngine>(*engine_contexts.back(), settings));
  }
  kumquatgauge::testing::FakeBackend backend;
  HttpEngineClient client(relay_context.get_executor());
  backend.on_complete = [&](kumquatgauge::routing::CompletionRequest request,
                            kumquatgauge::routing::TokenSink sink,
                            std::shared_ptr<kumquatgauge::node::StreamCancel>)
      -> asio::awaitable<CompletionEnd> {
    const auto& engine = *engines[backend.completions.size() % kEngines];
    const auto end = co_await client.Stream(
        engine.address(), std::move(request), {}, std::move(sink));
    CompletionEnd result;
    result.finish_reason = end.finish_reason;
    if (end.kind != StreamEnd::Kind::kCompleted) {
      result.outcome.kind = kumquatgauge::OutcomeKind::kFailed;
      result.outcome.reason = end.reason;
    }
    co_return result;
  };
  kumquatgauge::caller::CallerServer server({&relay_context}, "127.0.0.1:0",
                                            backend);
  std::uint64_t total = 0;
  for (auto i = 0; i < load.streams; ++i) {
    asio::co_spawn(caller_context,
                   RunCaller(server.address(), load.tokens_per_stream, total),
                   asio::detached);
  }
  std::vector<std::thread> engine_threads;
  engine_threads.reserve(engine_contexts.size());
  for (const auto& context : engine_contexts) {
    engine_threads.emplace_back([&context] { context->run(); });
  }
  std::thread relay_thread([&] { relay_context.run(); });
  const auto start = std::chrono::steady_clock::now();
  caller_context.run();
  const std::chrono::duration<double> wall =
      std::chrono::steady_clock::now() - start;
  const auto cpu = ThreadCpuSeconds(relay_thread.native_handle());
  relay_context.stop();
  relay_thread.join();
  for (auto i = 0; i < kEngines; ++i) {
    engine_contexts[i]->stop();
    engine_threads[i].join();
  }
  const auto tokens = static_cast<double>(total);
  std::printf(
      "%s: %d streams, %.0f tokens, %.0f tokens/s, relay CPU %.2f s, "
      "%.0f tokens per CPU second\n",
      load.name, load.streams, tokens, tokens / wall.count(), cpu,
      tokens / cpu);
  return total ==
         static_cast<std::uint64_t>(load.streams) * load.tokens_per_stream;
}

}  // namespace

// Usage: bench_caller_relay [STREAMS]; with an argument, only that many streams
// of 50 tokens/s each.
auto main(int argc, char** argv) -> int {
  std::vector<Load> loads = {
      {"bursts", 16, 100'000, std::chrono::microseconds(0)},
      {"one token per write, idle relay", 100, 2'000,
       std::chrono::microseconds(4'000)},
      {"one token per write, busy relay", 400, 3'000,
       std::chrono::microseconds(2'000)},
  };
  if (argc > 1) {
    loads = {{"50 tokens/s per stream", std::atoi(argv[1]), 200,
              std::chrono::microseconds(20'000)}};
  }
  auto complete = true;
  for (const auto& load : loads) {
    complete = Run(load) && complete;
  }
  return complete ? EXIT_SUCCESS : EXIT_FAILURE;
}
