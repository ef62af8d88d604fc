#include "testing/support/platform_state.h"

#include <utility>

namespace kumquatgauge::testing {

auto PlatformState::Get(const std::string& key, MonotonicTime time) const
    -> std::optional<store::StoredObject> {
  const auto found = objects_.find(key);
  if (found == objects_.end()) {
    return std::nullopt;
  }
  const auto& history = found->second.history;
  for (auto entry = history.rbegin(); entry != history.rend(); ++entry) {
    if (entry->from <= time) {
      if (!entry->value) {
        return std::nullopt;
      }
      return store::StoredObject{*entry->value, entry->version};
    }
  }
  return std::nullopt;
}

auto PlatformState::Record(const std::string& key,
                           std::optional<std::string> value,
                           MonotonicTime now) -> std::uint64_t {
  auto& object = objects_[key];
  auto& history = object.history;
  const auto version = history.empty() ? 1 : history.back().version + 1;
  history.push_back({now, std::move(value), version});
  while (history.size() > 1 && history[1].from + kLongestHistory < now) {
    history.pop_front();
  }
  object.revision = ++revision_;
  return version;
}

auto PlatformState::Put(const std::string& key,
                        std::string value,
                        std::optional<std::uint64_t> expected,
                        MonotonicTime now) -> Result {
  const auto current = Get(key, MonotonicTime::max());
  const auto matches = expected ? current && current->version == *expected
                                : !current.has_value();
  if (!matches) {
    return {Change::kVersionDiffers, current ? current->version : 0};
  }
  object_count_ += current ? 0 : 1;
  return {Change::kDone, Record(key, std::move(value), now)};
}

auto PlatformState::Remove(const std::string& key,
                           std::optional<std::uint64_t> expected,
                           MonotonicTime now) -> Result {
  const auto current = Get(key, MonotonicTime::max());
  if (!current) {
    return {Change::kNotFound, 0};
  }
  if (expected && current->version != *expected) {
    return {Change::kVersionDiffers, current->version};
  }
  --object_count_;
  return {Change::kDone, Record(key, std::nullopt, now)};
}

auto PlatformState::List(const std::string& prefix,
                         const std::string& after,
                         std::size_t limit) const -> store::ListPage {
  auto page = store::ListPage{.entries = {}, .revision = revision_};
  for (auto it = objects_.lower_bound(std::max(prefix, after));
       it != objects_.end() && it->first.starts_with(prefix) &&
       page.entries.size() < limit;
       ++it) {
    const auto& current = it->second.history.back();
    if (it->first > after && current.value) {
      page.entries.push_back({it->first, current.version});
    }
  }
  return page;
}

auto PlatformState::Events(const std::string& prefix, std::uint64_t since) const
    -> store::WatchBatch {
  auto batch = store::WatchBatch{.events = {}, .revision = revision_};
  for (auto it = objects_.lower_bound(prefix);
       it != objects_.end() && it->first.starts_with(prefix); ++it) {
    const auto& [key, object] = *it;
    if (object.revision > since) {
      const auto& current = object.history.back();
      batch.events.push_back(
          {key, current.value ? current.version : 0, object.revision});
    }
  }
  return batch;
}

auto PlatformState::SetHosts(nlohmann::json hosts, MonotonicTime now) -> void {
  auto list = nlohmann::json{{"version", ++hosts_version_},
                             {"hosts", std::move(hosts)}};
  hosts_.emplace_back(now, std::move(list));
  while (hosts_.size() > 1 && hosts_[1].first + kLongestHistory < now) {
    hosts_.pop_front();
  }
}

auto PlatformState::Hosts(MonotonicTime time) const -> nlohmann::json {
  for (auto entry = hosts_.rbegin(); entry != hosts_.rend(); ++entry) {
    if (entry->first <= time) {
      return entry->second;
    }
  }
  return {{"version", 0}, {"hosts", nlohmann::json::array()}};
}

auto PlatformState::Clear() -> void {
  objects_.clear();
  revision_ = 0;
  object_count_ = 0;
}

}  // namespace kumquatgauge::testing
