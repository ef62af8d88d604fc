#include "kumquatgauge/control/lease.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "kumquatgauge/base/error.h"

namespace kumquatgauge::control {

using boost::asio::awaitable;
using store::CallClass;

auto FormatLease(const LeaseRecord& record) -> std::string {
  return nlohmann::json{{"owner", record.owner.value()},
                        {"incarnation", record.incarnation},
                        {"token", record.token},
                        {"sequence", record.sequence},
                        {"operation", record.operation}}
      .dump();
}

auto ParseLease(std::string_view text) -> LeaseRecord {
  try {
    const auto json = nlohmann::json::parse(text);
    return LeaseRecord{.owner = NodeId(json.at("owner").get<std::string>()),
                       .incarnation = json.at("incarnation").get<Incarnation>(),
                       .token = json.at("token").get<std::uint64_t>(),
                       .sequence = json.at("sequence").get<std::uint64_t>(),
                       .operation = json.at("operation").get<std::string>()};
  } catch (const nlohmann::json::exception& error) {
    throw Error(ErrorKind::kInvalidArgument, "lease record is malformed",
                error.what(), "restore the object from a known good value");
  }
}

auto LeaseObserver::Observe(const std::optional<LeaseRecord>& found,
                            MonotonicTime sent,
                            MonotonicTime answered) -> void {
  const auto gap_too_long = observed_ && sent - last_answered_ > term_ / 2;
  if (!observed_ || gap_too_long || found != last_) {
    unchanged_since_ = answered;
  }
  observed_ = true;
  last_ = found;
  last_sent_ = sent;
  last_answered_ = answered;
}

auto LeaseObserver::MayTakeOver() const -> bool {
  if (!observed_) {
    return false;
  }
  if (!last_ || last_->owner.empty()) {
    return true;
  }
  return last_sent_ - unchanged_since_ >= term_;
}

auto LeaseObserver::Reset() -> void {
  observed_ = false;
  last_.reset();
}

LeaseKeeper::LeaseKeeper(store::ObjectStore& store,
                         std::string key,
                         NodeId node,
                         Incarnation incarnation,
                         Clock clock,
                         RandomSource random,
                         LeaseTiming timing)
    : store_(store),
      key_(std::move(key)),
      node_(std::move(node)),
      incarnation_(incarnation),
      clock_(std::move(clock)),
      random_(std::move(random)),
      timing_(timing),
      observer_(timing.term) {}

auto LeaseKeeper::NextOperation() -> std::string {
  return node_.value() + "." + std::to_string(incarnation_) + "." +
         std::to_string(random_());
}

auto LeaseKeeper::IsOwnedBySelf(const LeaseRecord& record) const -> bool {
  return record.owner == node_ && record.incarnation == incarnation_;
}

auto LeaseKeeper::ClearHeld() -> void {
  held_ = false;
  record_ = {};
  pending_write_.reset();
  observer_.Reset();
}

auto LeaseKeeper::ReadLease() -> awaitable<std::optional<store::StoredObject>> {
  auto key = key_;
  co_return co_await store_.Read(std::move(key), CallClass::kLease);
}

auto LeaseKeeper::ApplyStored(const LeaseRecord& found, std::uint64_t version)
    -> void {
  if (held_ && found.token < record_.token) {
    return;  // Stale read from before this node acquired the lease.
  }
  if (pending_write_ && found.operation == pending_write_->record.operation) {
    held_ = !found.owner.empty();
    record_ = found;
    version_ = version;
    held_until_ = std::max(held_until_, pending_write_->sent + timing_.term);
    pending_write_.reset();
  } else if (held_ && found.token == record_.token && IsOwnedBySelf(found)) {
    // An earlier write of this node. A stale read returns a smaller sequence.
    if (found.sequence >= record_.sequence) {
      record_ = found;
      version_ = version;
    }
  } else if (held_) {
    ClearHeld();
  }
  last_owner_.reset();
  if (!found.owner.empty()) {
    last_owner_ = found.owner;
  }
}

auto LeaseKeeper::ResolvePendingWrite() -> awaitable<void> {
  if (!pending_write_) {
    co_return;
  }
  const auto stored = co_await ReadLease();
  if (stored) {
    ApplyStored(ParseLease(stored->value), stored->version);
  }
  pending_write_.reset();
}

auto LeaseKeeper::WriteLease(LeaseRecord record,
                             std::optional<std::uint64_t> version)
    -> awaitable<bool> {
  pending_write_ = PendingWrite{.record = record, .sent = clock_()};
  auto key = key_;
  auto value = FormatLease(record);
  auto refused = false;
  try {
    const auto written = co_await store_.Write(std::move(key), std::move(value),
                                               version, CallClass::kLease);
    ApplyStored(record, written);
    co_return true;
  } catch (const Error& error) {
    refused = error.kind() == ErrorKind::kConflict;
    if (!refused && error.kind() != ErrorKind::kUnknownOutcome) {
      pending_write_.reset();  // The write had no effect.
      throw;
    }
  }
  // A conflict is read back too: an earlier write whose response was lost may
  // have arrived after the read that checked for it.
  co_await ResolvePendingWrite();
  co_return record_.operation == record.operation;
}

auto LeaseKeeper::TryAcquire(std::uint64_t minimum_token) -> awaitable<bool> {
  if (held_) {
    co_return co_await Renew();
  }
  const auto sent = clock_();
  const auto stored = co_await ReadLease();
  auto found = std::optional<LeaseRecord>();
  auto version = std::optional<std::uint64_t>();
  if (stored) {
    found = ParseLease(stored->value);
    version = stored->version;
    ApplyStored(*found, stored->version);
  }
  if (held_) {
    co_return true;  // The pending write of an earlier call took effect.
  }
  pending_write_.reset();
  observer_.Observe(found, sent, clock_());
  // A lease that names this incarnation but that it does not hold stems from a
  // write that arrived late, so no node acts under it.
  const auto own_late_write = found && IsOwnedBySelf(*found);
  if (!own_late_write && !observer_.MayTakeOver()) {
    co_return false;
  }
  took_over_ = found && !found->owner.empty() && !own_late_write;
  const auto last_token = found ? found->token : 0;
  auto record = LeaseRecord{.owner = node_,
                            .incarnation = incarnation_,
                            .token = std::max(last_token, minimum_token) + 1,
                            .sequence = found ? found->sequence + 1 : 1,
                            .operation = NextOperation()};
  co_return co_await WriteLease(std::move(record), version);
}

auto LeaseKeeper::Renew() -> awaitable<bool> {
  co_await ResolvePendingWrite();
  if (!held_) {
    co_return false;
  }
  auto record = record_;
  ++record.sequence;
  record.operation = NextOperation();
  co_await WriteLease(std::move(record), version_);
  co_return held_;
}

auto LeaseKeeper::Release() -> awaitable<void> {
  if (!held_) {
    co_return;
  }
  auto record = record_;
  const auto version = version_;
  ClearHeld();
  held_until_ = clock_();
  record.owner = NodeId();
  ++record.sequence;
  record.operation = NextOperation();
  auto key = key_;
  auto value = FormatLease(record);
  co_await store_.Write(std::move(key), std::move(value), version,
                        CallClass::kLease);
  last_owner_.reset();
}

}  // namespace kumquatgauge::control
