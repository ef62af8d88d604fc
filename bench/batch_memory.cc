// Peak heap memory while one job of 110,000 items is accepted and while its
// results are streamed.
#include <malloc.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <cstdlib>
#include <map>
#include <new>
#include <optional>
#include <string>

#include "bench/batch_report.h"
#include "kumquatgauge/base/error.h"
#include "kumquatgauge/batch/job_store.h"
#include "kumquatgauge/batch/submission.h"

namespace {

std::atomic<std::size_t> live_bytes = 0;
std::atomic<std::size_t> peak_bytes = 0;

auto Allocate(std::size_t size) -> void* {
  void* memory = std::malloc(size);
  if (memory == nullptr) {
    throw std::bad_alloc();
  }
  const auto live = live_bytes += malloc_usable_size(memory);
  peak_bytes = std::max<std::size_t>(peak_bytes, live);
  return memory;
}

auto Release(void* memory) -> void {
  live_bytes -= malloc_usable_size(memory);
  std::free(memory);
}

}  // namespace

auto operator new(std::size_t size) -> void* {
  return Allocate(size);
}
auto operator delete(void* memory) noexcept -> void {
  Release(memory);
}
auto operator delete(void* memory, std::size_t /*size*/) noexcept -> void {
  Release(memory);
}

namespace kumquatgauge::batch {
namespace {

using boost::asio::awaitable;

constexpr std::size_t kItems = 110'000;
constexpr std::size_t kPieceBytes = 65'536;
// In megabytes: 2 for the chunk, its copy and JSON; the rest for the set of
// custom_ids, which holds its old table while it doubles.
constexpr auto kAcceptBound = 10.0;
// In megabytes: the parts of one chunk as text and as values.
constexpr auto kStreamBound = 6.0;

// Keeps small objects only. Input chunks are dropped, and output parts are
// generated when they are read, so that the store itself takes no memory.
class SyntheticStore : public store::ObjectStore {
 public:
  auto Read(std::string key, store::CallClass /*class*/)
      -> awaitable<std::optional<store::StoredObject>> override {
    if (key.find("/out/") != std::string::npos) {
      co_return store::StoredObject{.value = MakePart(key), .version = 1};
    }
    const auto found = objects_.find(key);
    if (found == objects_.end()) {
      co_return std::nullopt;
    }
    co_return found->second;
  }
  auto Write(std::string key,
             std::string value,
             std::optional<std::uint64_t> /*expected*/,
             store::CallClass /*class*/) -> awaitable<std::uint64_t> override {
    if (key.find("/in/") == std::string::npos) {
      objects_[key] = {.value = std::move(value), .version = ++version_};
    }
    co_return version_;
  }
  auto Remove(std::string key,
              std::uint64_t /*expected*/,
              store::CallClass /*class*/) -> awaitable<void> override {
    objects_.erase(key);
    co_return;
  }
  auto List(std::string /*prefix*/,
            std::string /*after*/,
            std::size_t /*limit*/,
            store::CallClass /*class*/) -> awaitable<store::ListPage> override {
    co_return store::ListPage();
  }
  auto Watch(std::string /*prefix*/,
             std::uint64_t /*since*/,
             std::chrono::milliseconds /*timeout*/)
      -> awaitable<store::WatchBatch> override {
    co_return store::WatchBatch();
  }

 private:
  static auto MakePart(const std::string& key) -> std::string {
    const auto chunk = std::stoul(key.substr(key.find("/out/") + 5));
    auto text = std::string();
    for (std::size_t i = 0; i < kChunkItems; ++i) {
      auto result = ItemResult();
      result.line = chunk * kChunkItems + i + 1;
      result.custom_id = "item-" + std::to_string(result.line);
      result.text = std::string(1'500, 'r');
      text += result.ToJson() + '\n';
    }
    return text;
  }

  std::map<std::string, store::StoredObject> objects_;
  std::uint64_t version_ = 0;
};

template <typename T>
auto Run(awaitable<T> work) -> T {
  auto io = boost::asio::io_context();
  auto future =
      boost::asio::co_spawn(io, std::move(work), boost::asio::use_future);
  io.run();
  return future.get();
}

auto InMegabytes(std::size_t bytes) -> double {
  return static_cast<double>(bytes) / 1e6;
}

auto Request() -> SubmissionRequest {
  return {.organisation = OrganisationName("bar"),
          .client_key = "key",
          .service = ServiceName("notes"),
          .due = 3'600'000};
}

auto AcceptAll(SyntheticStore& store) -> double {
  const auto before = live_bytes.load();
  peak_bytes = before;
  auto submission = Submission(
      store, Request(), [] { return WallTime(); }, [] { return 1; });
  auto piece = std::string();
  for (std::size_t i = 1; i <= kItems; ++i) {
    piece += R"({"custom_id":"item-)" + std::to_string(i) +
             R"(","body":{"prompt":")" + std::string(1'000, 'p') + "\"}}\n";
    if (piece.size() >= kPieceBytes || i == kItems) {
      Run(submission.Append(std::exchange(piece, std::string())));
    }
  }
  Run(submission.Finish());
  return InMegabytes(peak_bytes - before);
}

auto StreamAll(SyntheticStore& store) -> double {
  auto jobs = JobStore(store, [] { return 2; });
  const auto id = MakeJobId(Request().organisation, Request().client_key);
  auto stored = Run(jobs.ReadState(id)).value_or(StoredState());
  auto parts = std::vector<PartCommit>();
  for (std::size_t chunk = 0; chunk * kChunkItems < kItems; ++chunk) {
    parts.push_back({chunk, {.part = 0, .token = 0, .count = kChunkItems}});
  }
  Run(jobs.Commit(id, stored, 0, parts, {}, 1));
  const auto before = live_bytes.load();
  peak_bytes = before;
  auto reader = ResultReader(jobs, id);
  std::size_t count = 0;
  while (true) {
    const auto results = Run(reader.NextChunk());
    if (results.empty()) {
      break;
    }
    count += results.size();
  }
  if (count < kItems) {
    throw Error(ErrorKind::kInternal, "results are missing",
                std::to_string(count), "check ResultReader");
  }
  return InMegabytes(peak_bytes - before);
}

}  // namespace
}  // namespace kumquatgauge::batch

auto main() -> int {
  auto report = kumquatgauge::bench::BatchReport();
  auto store = kumquatgauge::batch::SyntheticStore();
  report.AtMost("batch_accept_110000_items_mb",
                kumquatgauge::batch::AcceptAll(store),
                kumquatgauge::batch::kAcceptBound);
  report.AtMost("batch_stream_110000_results_mb",
                kumquatgauge::batch::StreamAll(store),
                kumquatgauge::batch::kStreamBound);
  return report.exit_code();
}
