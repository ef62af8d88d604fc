#ifndef TESTING_SUPPORT_MUTATOR_H_
#define TESTING_SUPPORT_MUTATOR_H_

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace kumquatgauge::testing {

// Returns the number of inputs per decoder: `usual`, or that of the environment
// variable KQG_FUZZ_INPUTS for long runs by hand.
auto FuzzInputs(int usual) -> int;

// Makes malformed inputs from valid ones. A seed always yields the same.
class Mutator {
 public:
  explicit Mutator(std::uint64_t seed) : random_(seed) {}

  // Returns one of the samples with some changes: bytes that are replaced,
  // removed, inserted or repeated, and values of JSON or headers that are
  // replaced by unusual ones.
  auto Mutate(const std::vector<std::string>& samples) -> std::string;
  auto Below(std::size_t count) -> std::size_t { return random_() % count; }

 private:
  auto Change(std::string text) -> std::string;
  auto ReplaceValue(std::string text) -> std::string;

  std::mt19937_64 random_;
};

}  // namespace kumquatgauge::testing

#endif  // TESTING_SUPPORT_MUTATOR_H_
