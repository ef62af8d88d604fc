#ifndef KUMQUATGAUGE_ROUTING_RENDEZVOUS_H_
#define KUMQUATGAUGE_ROUTING_RENDEZVOUS_H_

#include <cstdint>
#include <string_view>

namespace kumquatgauge::routing {

// Hash of a name for RendezvousScore. Stable across processes and releases, so
// that all nodes agree.
auto RendezvousHash(std::string_view name) -> std::uint64_t;

// Score of a member for a key; the member with the highest score is chosen.
// When a member is added or removed, only its own keys move.
auto RendezvousScore(std::uint64_t key, std::uint64_t member) -> std::uint64_t;

}  // namespace kumquatgauge::routing

#endif  // KUMQUATGAUGE_ROUTING_RENDEZVOUS_H_
