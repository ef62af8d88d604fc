#include "testing/support/memory_object_store.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "kumquatgauge/base/error.h"

namespace kumquatgauge::testing {
namespace {

auto ThrowUnknown(const std::string& key) -> void {
  throw Error(ErrorKind::kUnknownOutcome, "answer lost", key, "read it back");
}

}  // namespace

auto MemoryObjectStore::CheckFault(const std::string& call,
                                   const std::string& key) -> StoreFault {
  const auto fault = fault_ ? fault_(call, key) : StoreFault::kNone;
  if (fault == StoreFault::kUnavailable) {
    throw Error(ErrorKind::kUnavailable, "store is down", key, "retry later");
  }
  if (fault == StoreFault::kUnknownNoEffect) {
    ThrowUnknown(key);
  }
  return fault;
}

auto MemoryObjectStore::Read(std::string key, store::CallClass /*class*/)
    -> boost::asio::awaitable<std::optional<store::StoredObject>> {
  ++reads_;
  CheckFault("read", key);
  const auto found = objects_.find(key);
  if (found == objects_.end()) {
    co_return std::nullopt;
  }
  co_return found->second;
}

auto MemoryObjectStore::Write(std::string key,
                              std::string value,
                              std::optional<std::uint64_t> expected_version,
                              store::CallClass /*class*/)
    -> boost::asio::awaitable<std::uint64_t> {
  ++writes_;
  const auto fault = CheckFault("write", key);
  const auto found = objects_.find(key);
  const auto current = found == objects_.end() ? 0 : found->second.version;
  if (current != expected_version.value_or(0)) {
    throw Error(ErrorKind::kConflict, "version differs", key, "read it again");
  }
  if (value.size() > store::kMaxValueBytes) {
    throw Error(ErrorKind::kInvalidArgument, "value too large", key, "split");
  }
  const auto version = ++revision_;
  objects_[key] = {std::move(value), version};
  last_events_[key] = {key, version, revision_};
  if (fault == StoreFault::kLoseAnswer) {
    ThrowUnknown(key);
  }
  co_return version;
}

auto MemoryObjectStore::Remove(std::string key,
                               std::uint64_t expected_version,
                               store::CallClass /*class*/)
    -> boost::asio::awaitable<void> {
  ++writes_;
  const auto fault = CheckFault("write", key);
  const auto found = objects_.find(key);
  if (found == objects_.end()) {
    throw Error(ErrorKind::kNotFound, "no such object", key, "nothing to do");
  }
  if (found->second.version != expected_version) {
    throw Error(ErrorKind::kConflict, "version differs", key, "read it again");
  }
  objects_.erase(found);
  ++revision_;
  last_events_[key] = {key, 0, revision_};
  if (fault == StoreFault::kLoseAnswer) {
    ThrowUnknown(key);
  }
  co_return;
}

auto MemoryObjectStore::List(std::string prefix,
                             std::string after,
                             std::size_t limit,
                             store::CallClass /*class*/)
    -> boost::asio::awaitable<store::ListPage> {
  ++reads_;
  CheckFault("read", prefix);
  auto page = store::ListPage{.entries = {}, .revision = revision_};
  for (auto it = objects_.lower_bound(prefix);
       it != objects_.end() && it->first.starts_with(prefix) &&
       page.entries.size() < limit;
       ++it) {
    if (it->first > after) {
      page.entries.push_back({it->first, it->second.version});
    }
  }
  co_return page;
}

auto MemoryObjectStore::Watch(std::string prefix,
                              std::uint64_t since,
                              std::chrono::milliseconds timeout)
    -> boost::asio::awaitable<store::WatchBatch> {
  ++reads_;
  CheckFault("read", prefix);
  auto batch = store::WatchBatch{};
  auto timer = boost::asio::steady_timer(
      co_await boost::asio::this_coro::executor, timeout);
  if (revision_ <= since) {
    co_await timer.async_wait(boost::asio::use_awaitable);
  }
  for (const auto& [key, event] : last_events_) {
    if (event.revision > since && key.starts_with(prefix)) {
      batch.events.push_back(event);
    }
  }
  batch.revision = revision_;
  co_return batch;
}

}  // namespace kumquatgauge::testing
