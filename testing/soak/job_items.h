#ifndef TESTING_SOAK_JOB_ITEMS_H_
#define TESTING_SOAK_JOB_ITEMS_H_

#include <cstddef>
#include <string>
#include <vector>

namespace kumquatgauge::testing {

// Between the id of a job and the number of an item in the item's id.
inline constexpr auto kItemMark = "-item-";

// Returns the ids of the items of a job.
inline auto ItemsOf(const std::string& job, std::size_t count)
    -> std::vector<std::string> {
  auto items = std::vector<std::string>();
  for (std::size_t item = 0; item < count; ++item) {
    items.push_back(job + kItemMark + std::to_string(item));
  }
  return items;
}

}  // namespace kumquatgauge::testing

#endif  // TESTING_SOAK_JOB_ITEMS_H_
