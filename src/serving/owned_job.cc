#include "serving/owned_job.h"

#include <algorithm>

#include "kumquatgauge/serving/job_memory.h"

namespace kumquatgauge::serving::detail {
namespace {

// Size limit of the text of one page. Callers accept up to 1 MB including the
// other fields.
constexpr std::size_t kMaxPageBytes = 900'000;
// Size limit of the ids and texts of one chunk. Their encoding may take twice
// as many bytes, and the store accepts values of 1 MB.
constexpr std::size_t kMaxChunkBytes = 400'000;

}  // namespace

auto OwnedJob::AppendStored(const StoredResults& listed_results)
    -> std::vector<std::size_t> {
  stored = listed_results;
  stored_bytes = MemoryOf(stored.results);
  return Finish(stored.results);
}

auto OwnedJob::AppendStored(const ResultChunk& chunk)
    -> std::vector<std::size_t> {
  stored.Append(chunk);
  stored_bytes += MemoryOf(chunk.results);
  return Finish(chunk.results);
}

auto OwnedJob::Finish(const std::vector<ItemResult>& results)
    -> std::vector<std::size_t> {
  auto listed_now = std::vector<std::size_t>();
  for (const auto& result : results) {
    std::erase_if(unstored, [&](const auto& waiting) {
      return waiting.item == result.item;
    });
    const auto found = index.find(result.item);
    if (found != index.end() && listed.insert(found->second).second) {
      finished.insert(found->second);
      listed_now.push_back(found->second);
    }
  }
  return listed_now;
}

auto OwnedJob::NextChunk() const -> std::vector<ItemResult> {
  auto chunk = std::vector<ItemResult>();
  auto bytes = std::size_t{0};
  for (const auto& result : unstored) {
    bytes += result.item.size() + result.text.size();
    if (bytes > kMaxChunkBytes && !chunk.empty()) {
      break;
    }
    chunk.push_back(result);
  }
  return chunk;
}

auto OwnedJob::EndStoreDelay() -> void {
  if (store_delay) {
    store_delay->cancel();
  }
}

auto OwnedJob::WakeReaders() -> void {
  for (const auto& reader : readers) {
    if (const auto timer = reader.lock()) {
      timer->cancel();
    }
  }
  readers.clear();
}

auto MakePage(const std::vector<ItemResult>& results,
              std::size_t total,
              std::size_t after) -> Page {
  auto page = Page();
  page.total = total;
  page.next = after;
  auto bytes = std::size_t{0};
  for (auto at = after; at < results.size(); ++at) {
    bytes += results[at].text.size();
    if (bytes > kMaxPageBytes && !page.results.empty()) {
      break;
    }
    page.results.push_back(results[at]);
    ++page.next;
  }
  return page;
}

}  // namespace kumquatgauge::serving::detail
