#ifndef KUMQUATGAUGE_SERVING_TOKEN_ACCOUNT_H_
#define KUMQUATGAUGE_SERVING_TOKEN_ACCOUNT_H_

#include <cstdint>
#include <map>
#include <string>

#include "kumquatgauge/base/ids.h"

namespace kumquatgauge::serving {

// One start of a node. Each holds its own share of an account, since what an
// earlier start of the same node accepted is no longer counted by this one.
struct TokenHolder {
  NodeId node;
  Incarnation incarnation = 0;

  auto operator<=>(const TokenHolder&) const = default;
};

// The part of a quota that one holder may use without asking.
struct TokenShare {
  std::uint64_t tokens = 0;
  // Rises with each change by the holder itself, never by another node.
  std::uint64_t generation = 0;
  // The holder must ask for a share again before it accepts further jobs.
  bool revoked = false;

  auto operator==(const TokenShare&) const -> bool = default;
};

// How the tokens that batch items may have waiting on one route are divided
// among the nodes. Stored as one object, which is changed by conditional writes
// only, so that all nodes together never lend more than the limit. The share of
// a holder is at least the tokens of the unfinished items that it accepted.
struct TokenAccount {
  std::uint64_t limit = 0;
  // Version of the configuration that set the limit.
  std::uint64_t configuration = 0;
  std::map<TokenHolder, TokenShare> shares;

  // Returns the sum of all shares.
  auto lent() const -> std::uint64_t;

  auto operator==(const TokenAccount&) const -> bool = default;
};

// Returns the key of the object with the account of a route.
auto AccountKey(const std::string& route) -> std::string;

// Values are JSON text. The decoder throws Error(kInvalidArgument) for text
// that was not written by the encoder.
auto EncodeAccount(const TokenAccount& account) -> std::string;
auto DecodeAccount(const std::string& key, const std::string& value)
    -> TokenAccount;

}  // namespace kumquatgauge::serving

#endif  // KUMQUATGAUGE_SERVING_TOKEN_ACCOUNT_H_
