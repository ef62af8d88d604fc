#include "kumquatgauge/caller/caller_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <utility>

#include "base/listen_address.h"
#include "caller/server_core.h"
#include "caller/session.h"
#include "upstream/endpoint.h"

namespace kumquatgauge::caller {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace detail {
namespace {

// Running out of file descriptors is temporary; retrying without a delay would
// be a busy loop.
constexpr std::chrono::milliseconds kAcceptRetryDelay{50};

}  // namespace

ServerCore::ServerCore(std::vector<asio::io_context*> io_contexts,
                       CallerBackend& caller_backend,
                       CallerSettings caller_settings)
    : contexts(std::move(io_contexts)),
      backend(caller_backend),
      settings(std::move(caller_settings)),
      acceptor_(*contexts.at(0)),
      retry_timer_(*contexts.at(0)) {}

auto ServerCore::Accept() -> void {
  acceptor_.async_accept(
      NextContext(),
      [self = shared_from_this()](const boost::system::error_code& error,
                                  tcp::socket socket) {
        if (!error) {
          self->Start(std::move(socket));
        }
        if (!self->acceptor_.is_open()) {
          return;
        }
        if (!error) {
          self->Accept();
          return;
        }
        self->retry_timer_.expires_after(kAcceptRetryDelay);
        self->retry_timer_.async_wait(
            [self](const boost::system::error_code& cancelled) {
              if (!cancelled && self->acceptor_.is_open()) {
                self->Accept();
              }
            });
      });
}

auto ServerCore::Open() -> boost::system::error_code {
  if (stopping) {
    return asio::error::operation_aborted;
  }
  return kumquatgauge::detail::OpenAcceptor(acceptor_, endpoint_);
}

auto ServerCore::OnOpened() -> void {
  address = upstream::detail::FormatEndpoint(acceptor_.local_endpoint());
  listening = true;
  Accept();
}

auto ServerCore::StopAccepting() -> void {
  if (!acceptor_.is_open()) {
    return;
  }
  boost::system::error_code error;
  acceptor_.non_blocking(true, error);
  while (!error) {
    tcp::socket socket(NextContext());
    acceptor_.accept(socket, error);
    if (!error) {
      Start(std::move(socket));
    }
  }
  acceptor_.close(error);
  retry_timer_.cancel();
}

auto ServerCore::Start(tcp::socket socket) -> void {
  boost::system::error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  const auto executor = socket.get_executor();
  auto session =
      std::make_shared<Session>(shared_from_this(), std::move(socket));
  Add(session);
  asio::co_spawn(
      executor, [session]() { return session->Run(); }, asio::detached);
}

auto ServerCore::NextContext() -> asio::io_context& {
  return *contexts[next_context_++ % contexts.size()];
}

auto ServerCore::Add(const std::shared_ptr<Session>& session) -> void {
  ++connections;
  const std::lock_guard lock(mutex_);
  sessions_.emplace(session.get(), session);
}

auto ServerCore::Remove(Session* session) -> void {
  {
    const std::lock_guard lock(mutex_);
    sessions_.erase(session);
  }
  --connections;
}

auto ServerCore::Sessions() -> std::vector<std::shared_ptr<Session>> {
  std::vector<std::shared_ptr<Session>> alive;
  const std::lock_guard lock(mutex_);
  for (const auto& [key, weak] : sessions_) {
    if (auto session = weak.lock()) {
      alive.push_back(std::move(session));
    }
  }
  return alive;
}

}  // namespace detail

CallerServer::CallerServer(std::vector<asio::io_context*> contexts,
                           const std::string& address,
                           CallerBackend& backend,
                           CallerSettings settings)
    : core_(std::make_shared<detail::ServerCore>(std::move(contexts),
                                                 backend,
                                                 std::move(settings))) {
  core_->endpoint_ = upstream::detail::ParseEndpoint(address);
  kumquatgauge::detail::OpenListenAddress(
      core_->contexts[0]->get_executor(), address,
      kumquatgauge::detail::MakeListenHooks(core_->weak_from_this()));
}

CallerServer::~CallerServer() {
  core_->stopping = true;
  asio::post(*core_->contexts[0], [core = core_] { core->StopAccepting(); });
  for (const auto& session : core_->Sessions()) {
    asio::post(session->executor(), [session] { session->Abort(); });
  }
}

auto CallerServer::listening() const -> bool {
  return core_->listening;
}

auto CallerServer::address() const -> const std::string& {
  return core_->address;
}

auto CallerServer::connections() const -> std::size_t {
  return core_->connections;
}

auto CallerServer::Stop() -> void {
  core_->stopping = true;
  asio::post(*core_->contexts[0], [core = core_] { core->StopAccepting(); });
  for (const auto& session : core_->Sessions()) {
    asio::post(session->executor(), [session] { session->OnStop(); });
  }
}

}  // namespace kumquatgauge::caller
