#include "kumquatgauge/routing/rendezvous.h"

#include <xxhash.h>

#include <array>

namespace kumquatgauge::routing {

auto RendezvousHash(std::string_view name) -> std::uint64_t {
  return XXH3_64bits(name.data(), name.size());
}

auto RendezvousScore(std::uint64_t key, std::uint64_t member) -> std::uint64_t {
  std::array<std::uint64_t, 2> pair = {key, member};
  return XXH3_64bits(pair.data(), sizeof(pair));
}

}  // namespace kumquatgauge::routing
