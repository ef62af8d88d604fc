#ifndef TESTING_FAKE_ENGINE_PREFIX_CACHE_H_
#define TESTING_FAKE_ENGINE_PREFIX_CACHE_H_

#include <cstdint>
#include <functional>
#include <list>
#include <string_view>
#include <unordered_map>

namespace kumquatgauge::testing {

// Prompt prefixes in limited memory: blocks of kBlockBytes, each named by the
// hash of the prompt up to its end. Evicts the least recently used block.
class PrefixCache {
 public:
  static constexpr std::size_t kBlockBytes = 256;

  using ChangeHook = std::function<auto(bool stored, std::uint64_t hash)->void>;

  PrefixCache(std::size_t max_bytes, ChangeHook on_change);

  // Bytes of the prompt's prefix that were cached; caches the whole prompt.
  auto Touch(std::string_view prompt) -> std::size_t;
  auto used_bytes() const -> std::size_t;

 private:
  auto Store(std::uint64_t hash) -> void;

  std::size_t max_blocks_;
  ChangeHook on_change_;
  std::list<std::uint64_t> recent_;  // The most recently used block first.
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> blocks_;
};

}  // namespace kumquatgauge::testing

#endif  // TESTING_FAKE_ENGINE_PREFIX_CACHE_H_
