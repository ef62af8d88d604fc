#ifndef TESTING_SUPPORT_UNRELIABLE_OBJECT_STORE_H_
#define TESTING_SUPPORT_UNRELIABLE_OBJECT_STORE_H_

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "testing/support/memory_object_store.h"

namespace kumquatgauge::testing {

// A MemoryObjectStore with two more faults: stale reads and writes that take
// effect late. The hooks are called before each read and write.
class UnreliableObjectStore : public MemoryObjectStore {
 public:
  using Hook = std::function<auto()->bool>;

  // If true, the read returns the value before the last change of the object.
  auto set_stale_hook(Hook hook) -> void { stale_ = std::move(hook); }
  // If true, the write fails with kUnknownOutcome and is carried out, if its
  // version still matches, before a later call for which the arrival hook is
  // true.
  auto set_late_hook(Hook hook) -> void { late_ = std::move(hook); }
  auto set_arrival_hook(Hook hook) -> void { arrival_ = std::move(hook); }

  auto Read(std::string key, store::CallClass call_class)
      -> boost::asio::awaitable<std::optional<store::StoredObject>> override;
  auto Write(std::string key,
             std::string value,
             std::optional<std::uint64_t> expected_version,
             store::CallClass call_class)
      -> boost::asio::awaitable<std::uint64_t> override;

 private:
  struct LateWrite {
    std::string key;
    std::string value;
    std::optional<std::uint64_t> expected_version;
  };
  struct Past {
    std::optional<store::StoredObject> last;
    std::optional<store::StoredObject> before;
  };

  auto DeliverLateWrite() -> boost::asio::awaitable<void>;

  Hook stale_;
  Hook late_;
  Hook arrival_;
  std::optional<LateWrite> waiting_;
  std::map<std::string, Past> past_;
};

}  // namespace kumquatgauge::testing

#endif  // TESTING_SUPPORT_UNRELIABLE_OBJECT_STORE_H_
