#include "upstream/connection_pool.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <functional>
#include <utility>

#include "base/socket_options.h"
#include "kumquatgauge/base/error.h"
#include "upstream/endpoint.h"

namespace kumquatgauge::upstream::detail {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

}  // namespace

auto CarriedIds::Add(std::string_view id) -> void {
  if (!id.empty()) {
    hashes_.push_back(std::hash<std::string_view>()(id));
  }
}

auto CarriedIds::Contains(std::string_view id) const -> bool {
  const auto hash = std::hash<std::string_view>()(id);
  return !id.empty() &&
         std::find(hashes_.begin(), hashes_.end(), hash) != hashes_.end();
}

Connection::Connection(std::shared_ptr<DeadlineSocket> io,
                       std::string address,
                       bool reused,
                       CarriedIds ids,
                       std::shared_ptr<ConnectionPool> pool)
    : io_(std::move(io)),
      address_(std::move(address)),
      reused_(reused),
      ids_(std::move(ids)),
      pool_(std::move(pool)) {}

Connection::~Connection() {
  if (io_) {
    io_->Close();
    pool_->OnClosed(address_);
  }
}

auto Connection::Release() -> void {
  io_->Disarm();
  if (ids_.full()) {
    io_->Close();
    pool_->OnClosed(address_);
  } else {
    pool_->Return(address_, io_, std::move(ids_));
  }
  io_ = nullptr;
}

ConnectionPool::ConnectionPool(const asio::any_io_executor& executor,
                               ConnectionSettings settings)
    : executor_(executor), settings_(settings), prune_timer_(executor) {}

auto ConnectionPool::Acquire(std::string address,
                             Reuse reuse,
                             Duration limit,
                             std::string id)
    -> asio::awaitable<std::shared_ptr<Connection>> {
  if (reuse == Reuse::kAllowed) {
    if (auto idle = TakeIdle(address, id)) {
      idle->ids.Add(id);
      co_return std::make_shared<Connection>(std::move(idle->io), address, true,
                                             std::move(idle->ids),
                                             shared_from_this());
    }
  }
  auto& entry = addresses_[address];
  if (entry.in_use + entry.idle.size() >= settings_.max_connections &&
      !entry.idle.empty()) {
    entry.idle.pop_front();
  }
  if (entry.in_use >= settings_.max_connections) {
    throw Error(ErrorKind::kUnavailable, "too many connections open", address,
                "retry later or raise the connection limit");
  }
  const auto endpoint = ParseEndpoint(address);
  ++entry.in_use;
  auto io = std::make_shared<DeadlineSocket>(tcp::socket(executor_));
  auto ids = CarriedIds();
  ids.Add(id);
  auto connection = std::make_shared<Connection>(
      io, address, false, std::move(ids), shared_from_this());
  io->ExpireAfter(std::min<Duration>(settings_.connect_timeout, limit),
                  DeadlineSocket::OnExpiry::kClose);
  kumquatgauge::detail::OpenForConnect(io->socket(), endpoint);
  kumquatgauge::detail::LimitSendBuffer(io->socket());
  kumquatgauge::detail::LimitReceiveBuffer(io->socket());
  boost::system::error_code error;
  co_await io->socket().async_connect(
      endpoint, asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    const std::string what =
        io->timed_out() ? "connection timed out" : error.message();
    throw Error(ErrorKind::kUnavailable, what, address,
                "use another replica or retry later");
  }
  io->Disarm();
  kumquatgauge::detail::ConfigureTcpSocket(io->socket(),
                                           settings_.user_timeout);
  co_return connection;
}

auto ConnectionPool::open(const std::string& address) const -> std::size_t {
  const auto found = addresses_.find(address);
  return found == addresses_.end()
             ? 0
             : found->second.in_use + found->second.idle.size();
}

auto ConnectionPool::Close() -> void {
  closed_ = true;
  prune_timer_.cancel();
  for (auto& [address, entry] : addresses_) {
    entry.idle.clear();
  }
}

auto ConnectionPool::TakeIdle(const std::string& address, const std::string& id)
    -> std::optional<IdleConnection> {
  DropExpired();
  const auto found = addresses_.find(address);
  if (found == addresses_.end()) {
    return std::nullopt;
  }
  auto& entry = found->second;
  // The most recently used one is the least likely to have been closed.
  for (auto at = entry.idle.size(); at-- > 0;) {
    if (entry.idle[at].ids.Contains(id)) {
      continue;
    }
    auto idle = std::move(entry.idle[at]);
    entry.idle.erase(entry.idle.begin() + static_cast<std::ptrdiff_t>(at));
    // Unread data between requests belongs to no request, and at an end of
    // stream the peer has closed the connection.
    if (!idle.io->Readable()) {
      ++entry.in_use;
      return idle;
    }
  }
  return std::nullopt;
}

auto ConnectionPool::Return(const std::string& address,
                            std::shared_ptr<DeadlineSocket> io,
                            CarriedIds ids) -> void {
  auto& entry = addresses_[address];
  --entry.in_use;
  if (closed_) {
    return;
  }
  entry.idle.push_back(
      {std::move(io), std::move(ids), std::chrono::steady_clock::now()});
  SchedulePrune();
}

auto ConnectionPool::OnClosed(const std::string& address) -> void {
  const auto found = addresses_.find(address);
  --found->second.in_use;
  if (found->second.in_use == 0 && found->second.idle.empty()) {
    addresses_.erase(found);
  }
}

auto ConnectionPool::DropExpired() -> void {
  const auto oldest = std::chrono::steady_clock::now() - settings_.idle_limit;
  for (auto item = addresses_.begin(); item != addresses_.end();) {
    auto& entry = item->second;
    while (!entry.idle.empty() && entry.idle.front().since <= oldest) {
      entry.idle.pop_front();
    }
    const auto unused = entry.in_use == 0 && entry.idle.empty();
    item = unused ? addresses_.erase(item) : std::next(item);
  }
}

auto ConnectionPool::SchedulePrune() -> void {
  if (prune_scheduled_) {
    return;
  }
  prune_scheduled_ = true;
  prune_timer_.expires_after(settings_.idle_limit);
  prune_timer_.async_wait(
      [weak = weak_from_this()](const boost::system::error_code& error) {
        auto self = weak.lock();
        if (!self || error) {
          return;
        }
        self->prune_scheduled_ = false;
        self->DropExpired();
        const auto any_idle = std::any_of(
            self->addresses_.begin(), self->addresses_.end(),
            [](const auto& item) { return !item.second.idle.empty(); });
        if (any_idle) {
          self->SchedulePrune();
        }
      });
}

}  // namespace kumquatgauge::upstream::detail
