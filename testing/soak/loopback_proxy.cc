#include "testing/soak/loopback_proxy.h"

#include <array>
#include <atomic>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <set>
#include <string_view>
#include <utility>

namespace kumquatgauge::testing {
namespace {

namespace asio = boost::asio;
using asio::awaitable;
using asio::ip::tcp;
using boost::system::error_code;

constexpr auto kAwaitTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::chrono::milliseconds kDelay{120};
constexpr std::size_t kPieceBytes = 16'384;

struct ConnectionPair {
  explicit ConnectionPair(tcp::socket from)
      : caller(std::move(from)), server(caller.get_executor()) {}

  // Closes both sides; with a TCP reset if `reset` is true.
  auto Close(bool reset) -> void {
    error_code ignored;
    if (reset) {
      caller.set_option(asio::socket_base::linger(true, 0), ignored);
      server.set_option(asio::socket_base::linger(true, 0), ignored);
    }
    caller.close(ignored);
    server.close(ignored);
  }

  tcp::socket caller;
  tcp::socket server;
  bool silent_to_server = false;
  bool silent_to_caller = false;
  std::string last_refusal;
};

auto ParseEndpoint(const std::string& address) -> tcp::endpoint {
  const auto colon = address.rfind(':');
  return {asio::ip::make_address(address.substr(0, colon)),
          static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1)))};
}

}  // namespace

class LoopbackProxy::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& context, const std::string& target)
      : context_(context),
        target_(ParseEndpoint(target)),
        acceptor_(context, {asio::ip::make_address("127.0.0.1"), 0}),
        address_("127.0.0.1:" +
                 std::to_string(acceptor_.local_endpoint().port())) {}

  auto Start() -> void {
    asio::co_spawn(context_, Accept(shared_from_this()), asio::detached);
  }

  auto Stop() -> void {
    stopped_ = true;
    asio::post(context_, [self = shared_from_this()] {
      error_code ignored;
      self->acceptor_.close(ignored);
      self->CloseAll(false);
    });
  }

  auto Reset() -> void {
    asio::post(context_, [self = shared_from_this()] { self->CloseAll(true); });
  }

  auto address() const -> const std::string& { return address_; }
  auto SetFault(LinkFault fault) -> void { fault_ = fault; }
  auto set_repeats_refusals(bool repeats) -> void {
    repeats_refusals_ = repeats;
  }

 private:
  auto CloseAll(bool reset) -> void {
    for (const auto& pair : pairs_) {
      pair->Close(reset);
    }
    pairs_.clear();
  }

  static auto Accept(std::shared_ptr<Impl> self) -> awaitable<void> {
    while (!self->stopped_) {
      auto [error, socket] = co_await self->acceptor_.async_accept(kAwaitTuple);
      if (error) {
        co_return;
      }
      auto pair = std::make_shared<ConnectionPair>(std::move(socket));
      const auto [failed] =
          co_await pair->server.async_connect(self->target_, kAwaitTuple);
      if (failed) {
        pair->Close(true);
        continue;
      }
      self->pairs_.insert(pair);
      asio::co_spawn(self->context_, Forward(self, pair, true), asio::detached);
      asio::co_spawn(self->context_, Forward(self, pair, false),
                     asio::detached);
    }
  }

  static auto Forward(std::shared_ptr<Impl> self,
                      std::shared_ptr<ConnectionPair> pair,
                      bool to_server) -> awaitable<void> {
    auto& from = to_server ? pair->caller : pair->server;
    auto& to = to_server ? pair->server : pair->caller;
    auto& silent = to_server ? pair->silent_to_server : pair->silent_to_caller;
    auto piece = std::array<char, kPieceBytes>();
    while (true) {
      const auto [error, size] =
          co_await from.async_read_some(asio::buffer(piece), kAwaitTuple);
      const auto fault = self->fault_.load();
      silent = silent || fault == LinkFault::kSilence ||
               (fault == LinkFault::kOneWay && !to_server);
      if (error && silent) {
        co_return;  // The other side is not told of the end either.
      }
      if (error) {
        pair->Close(false);
        self->pairs_.erase(pair);
        co_return;
      }
      if (silent) {
        continue;
      }
      if (fault == LinkFault::kDelay) {
        auto timer = asio::steady_timer(self->context_, kDelay);
        co_await timer.async_wait(kAwaitTuple);
      }
      const auto bytes = std::string_view(piece.data(), size);
      if (!to_server && bytes.find(kRefusalMark) != std::string_view::npos) {
        pair->last_refusal = bytes;
      }
      if (to_server && self->repeats_refusals_ && bytes.starts_with("POST ")) {
        co_await asio::async_write(
            pair->caller, asio::buffer(pair->last_refusal), kAwaitTuple);
      }
      co_await asio::async_write(to, asio::buffer(piece.data(), size),
                                 kAwaitTuple);
    }
  }

  asio::io_context& context_;
  tcp::endpoint target_;
  tcp::acceptor acceptor_;
  std::string address_;
  std::atomic<LinkFault> fault_{LinkFault::kNone};
  std::atomic<bool> repeats_refusals_{false};
  std::atomic<bool> stopped_{false};
  std::set<std::shared_ptr<ConnectionPair>> pairs_;
};

LoopbackProxy::LoopbackProxy(asio::io_context& context,
                             const std::string& target)
    : impl_(std::make_shared<Impl>(context, target)) {
  impl_->Start();
}

LoopbackProxy::~LoopbackProxy() {
  impl_->Stop();
}

auto LoopbackProxy::address() const -> std::string {
  return impl_->address();
}

auto LoopbackProxy::SetFault(LinkFault fault) -> void {
  impl_->SetFault(fault);
}

auto LoopbackProxy::set_repeats_refusals(bool repeats) -> void {
  impl_->set_repeats_refusals(repeats);
}

auto LoopbackProxy::Reset() -> void {
  impl_->Reset();
}

}  // namespace kumquatgauge::testing
