#ifndef SERVING_RESULT_CACHE_H_
#define SERVING_RESULT_CACHE_H_

#include <cstddef>
#include <list>
#include <map>
#include <vector>

#include "kumquatgauge/base/ids.h"
#include "kumquatgauge/serving/job.h"

namespace kumquatgauge::serving::detail {

auto BytesOf(const std::vector<ItemResult>& results) -> std::size_t;

// Caches results that were read from the store, contiguous from the first
// position. Evicts the least recently read job first.
class ResultCache {
 public:
  explicit ResultCache(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  auto Find(const JobId& id) -> StoredResults*;
  auto Put(const JobId& id, StoredResults stored) -> void;

 private:
  struct Entry {
    StoredResults stored;
    std::list<JobId>::iterator place;
  };

  auto Erase(const JobId& id) -> void;

  std::map<JobId, Entry> entries_;
  std::list<JobId> order_;
  std::size_t max_bytes_;
  std::size_t bytes_ = 0;
};

}  // namespace kumquatgauge::serving::detail

#endif  // SERVING_RESULT_CACHE_H_
