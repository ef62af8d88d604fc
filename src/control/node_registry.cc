#include "kumquatgauge/control/node_registry.h"

#include <algorithm>
#include <chrono>
#include <exception>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "kumquatgauge/base/error.h"

namespace kumquatgauge::control {
namespace {

using boost::asio::awaitable;
using nlohmann::json;
using std::chrono::milliseconds;

constexpr int kLists = 2;
constexpr milliseconds kRetryDelay{300};
constexpr milliseconds kSecondListDelay{1'500};
constexpr std::size_t kMaxEntries = 500;
// A node that reaches one other learns of the rest from it, so a few addresses
// suffice. Bounds the reads when a whole fleet starts at once.
constexpr std::size_t kMaxReads = 5;

}  // namespace

NodeRegistry::NodeRegistry(store::ObjectStore& store,
                           std::string prefix,
                           const NodeId& name,
                           const std::string& address,
                           NodeRegistryHooks hooks)
    : store_(store),
      prefix_(std::move(prefix)),
      key_(prefix_ + name.value()),
      value_(json(address).dump()),
      hooks_(std::move(hooks)) {}

auto NodeRegistry::Run() -> awaitable<void> {
  for (auto lists = 0; lists < kLists && !stopped_;) {
    auto failure = std::string();
    try {
      co_await Register();
      ++lists;
    } catch (const Error& error) {
      failure = error.what();
    }
    if (!failure.empty()) {
      hooks_.failed(failure);
    } else if (listed_.empty()) {
      co_return;
    }
    if (lists < kLists) {
      co_await hooks_.pause(lists == 0 ? kRetryDelay : kSecondListDelay);
    }
    if (lists > 0 && HasMetListed()) {
      co_return;
    }
  }
}

auto NodeRegistry::HasMetListed() const -> bool {
  return std::any_of(listed_.begin(), listed_.end(), hooks_.is_member);
}

auto NodeRegistry::Register() -> awaitable<void> {
  // Others are listed even if the store refuses to create the entry.
  auto failure = std::exception_ptr();
  try {
    co_await CreateEntry();
  } catch (const Error&) {
    failure = std::current_exception();
  }
  auto stored = false;
  while (!stored) {
    auto page = co_await store_.List(prefix_, "", kMaxEntries,
                                     store::CallClass::kConfiguration);
    const auto own = ExtractOwnEntry(page.entries);
    listed_.clear();
    for (const auto& entry : page.entries) {
      listed_.emplace_back(entry.key.substr(prefix_.size()));
    }
    auto addresses = co_await ReadAddresses(std::move(page.entries));
    hooks_.found(std::move(addresses));
    stored = own && co_await IsUpToDate(*own);
    if (!stored && failure) {
      std::rethrow_exception(failure);
    }
    if (!stored) {
      version_ = co_await store_.Write(
          key_, value_, own ? std::optional(own->version) : std::nullopt,
          store::CallClass::kConfiguration);
    }
  }
  alone_ = listed_.empty();
}

auto NodeRegistry::CreateEntry() -> awaitable<void> {
  if (version_) {
    co_return;
  }
  try {
    version_ = co_await store_.Write(key_, value_, std::nullopt,
                                     store::CallClass::kConfiguration);
  } catch (const Error& error) {
    // A conflict shows an entry of an earlier start, which the list contains.
    if (error.kind() != ErrorKind::kConflict) {
      throw;
    }
  }
}

auto NodeRegistry::ExtractOwnEntry(std::vector<store::ListEntry>& entries) const
    -> std::optional<store::ListEntry> {
  const auto own =
      std::find_if(entries.begin(), entries.end(),
                   [this](const auto& entry) { return entry.key == key_; });
  if (own == entries.end()) {
    return std::nullopt;
  }
  auto entry = std::move(*own);
  entries.erase(own);
  return entry;
}

auto NodeRegistry::IsUpToDate(store::ListEntry own) -> awaitable<bool> {
  if (own.version == version_) {
    co_return true;
  }
  if (!own.value) {
    const auto object =
        co_await store_.Read(key_, store::CallClass::kConfiguration);
    own.value = object ? object->value : std::string();
  }
  const auto up_to_date = own.value == value_;
  if (up_to_date) {
    version_ = own.version;
  }
  co_return up_to_date;
}

auto NodeRegistry::ReadAddresses(std::vector<store::ListEntry> entries)
    -> awaitable<std::vector<std::string>> {
  // The order is random, so that not all nodes contact the same ones.
  for (auto left = entries.size(); left > 1; --left) {
    std::swap(entries[left - 1], entries[hooks_.random() % left]);
  }
  auto addresses = std::vector<std::string>();
  auto reads = std::size_t{0};
  for (const auto& entry : entries) {
    auto value = entry.value;
    if (!value && reads < kMaxReads &&
        !hooks_.is_member(NodeId(entry.key.substr(prefix_.size())))) {
      ++reads;
      const auto object =
          co_await store_.Read(entry.key, store::CallClass::kConfiguration);
      value = object ? object->value : std::string();
    }
    // Ignores entries that are not a JSON string; another program wrote them.
    const auto address = json::parse(value.value_or(""), nullptr, false);
    if (address.is_string()) {
      addresses.push_back(address.get<std::string>());
    }
  }
  co_return addresses;
}

auto NodeRegistry::Names() -> awaitable<std::vector<NodeId>> {
  const auto page = co_await store_.List(prefix_, "", kMaxEntries,
                                         store::CallClass::kConfiguration);
  auto names = std::vector<NodeId>();
  names.reserve(page.entries.size());
  for (const auto& entry : page.entries) {
    names.emplace_back(entry.key.substr(prefix_.size()));
  }
  co_return names;
}

auto NodeRegistry::Remove() -> awaitable<void> {
  const auto entry =
      co_await store_.Read(key_, store::CallClass::kConfiguration);
  if (entry && entry->value == value_) {
    co_await store_.Remove(key_, entry->version,
                           store::CallClass::kConfiguration);
  }
}

auto NodesNotHeardOf(const std::vector<MemberRecord>& records,
                     const std::vector<std::string>& seeds,
                     const std::vector<NodeId>& registered)
    -> std::vector<std::string> {
  auto missing = std::vector<std::string>();
  for (const auto& name : registered) {
    if (std::none_of(records.begin(), records.end(), [&](const auto& record) {
          return record.info.id == name;
        })) {
      missing.push_back(name.value());
    }
  }
  for (const auto& seed : seeds) {
    if (std::none_of(records.begin(), records.end(), [&](const auto& record) {
          return record.info.node_address == seed;
        })) {
      missing.push_back(seed);
    }
  }
  return missing;
}

}  // namespace kumquatgauge::control
