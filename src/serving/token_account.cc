#include "kumquatgauge/serving/token_account.h"

#include <nlohmann/json.hpp>

#include "base/hex_hash.h"
#include "kumquatgauge/base/error.h"

namespace kumquatgauge::serving {
namespace {

using nlohmann::json;

}  // namespace

auto TokenAccount::lent() const -> std::uint64_t {
  auto sum = std::uint64_t{0};
  for (const auto& [holder, share] : shares) {
    sum += share.tokens;
  }
  return sum;
}

auto AccountKey(const std::string& route) -> std::string {
  return "token-accounts/" + kumquatgauge::detail::HexHash(route);
}

auto EncodeAccount(const TokenAccount& account) -> std::string {
  auto shares = json::array();
  for (const auto& [holder, share] : account.shares) {
    shares.push_back({holder.node.value(), holder.incarnation, share.tokens,
                      share.generation, share.revoked});
  }
  return json{{"limit", account.limit},
              {"configuration", account.configuration},
              {"shares", std::move(shares)}}
      .dump();
}

auto DecodeAccount(const std::string& key, const std::string& value)
    -> TokenAccount {
  try {
    const auto object = json::parse(value);
    auto account = TokenAccount();
    account.limit = object.at("limit").get<std::uint64_t>();
    account.configuration = object.at("configuration").get<std::uint64_t>();
    for (const auto& entry : object.at("shares")) {
      const auto holder = TokenHolder{NodeId(entry.at(0).get<std::string>()),
                                      entry.at(1).get<Incarnation>()};
      account.shares[holder] = {entry.at(2).get<std::uint64_t>(),
                                entry.at(3).get<std::uint64_t>(),
                                entry.at(4).get<bool>()};
    }
    return account;
  } catch (const json::exception& error) {
    throw Error(
        ErrorKind::kInvalidArgument,
        std::string("unreadable account of tokens (") + error.what() + ")", key,
        "remove the object; another program wrote it");
  }
}

}  // namespace kumquatgauge::serving
