#include "testing/support/unreliable_object_store.h"

#include <utility>

#include "kumquatgauge/base/error.h"

namespace kumquatgauge::testing {

using boost::asio::awaitable;
using store::CallClass;

auto UnreliableObjectStore::DeliverLateWrite() -> awaitable<void> {
  if (!waiting_ || !arrival_ || !arrival_()) {
    co_return;
  }
  auto write = std::move(*waiting_);
  waiting_.reset();
  try {
    co_await MemoryObjectStore::Write(
        std::move(write.key), std::move(write.value), write.expected_version,
        CallClass::kStatus);
  } catch (const Error&) {
    // The version has changed meanwhile, or another fault was injected.
  }
}

auto UnreliableObjectStore::Read(std::string key, CallClass call_class)
    -> awaitable<std::optional<store::StoredObject>> {
  co_await DeliverLateWrite();
  auto found = co_await MemoryObjectStore::Read(key, call_class);
  auto& past = past_[key];
  if (found && (!past.last || past.last->version != found->version)) {
    past.before = std::exchange(past.last, found);
  }
  if (found && past.before && stale_ && stale_()) {
    co_return past.before;
  }
  co_return found;
}

auto UnreliableObjectStore::Write(std::string key,
                                  std::string value,
                                  std::optional<std::uint64_t> expected_version,
                                  CallClass call_class)
    -> awaitable<std::uint64_t> {
  co_await DeliverLateWrite();
  if (!waiting_ && late_ && late_()) {
    waiting_ = LateWrite{key, std::move(value), expected_version};
    throw Error(ErrorKind::kUnknownOutcome, "answer lost", key, "read it back");
  }
  co_return co_await MemoryObjectStore::Write(std::move(key), std::move(value),
                                              expected_version, call_class);
}

}  // namespace kumquatgauge::testing
