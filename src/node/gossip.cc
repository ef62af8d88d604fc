#include "kumquatgauge/node/gossip.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "kumquatgauge/base/error.h"
#include "kumquatgauge/node/message.h"
#include "kumquatgauge/node/peer_server.h"
#include "node/membership_codec.h"
#include "node/message_fields.h"

namespace kumquatgauge::node {
namespace {

using boost::asio::awaitable;
using control::FeedActions;
using control::MembershipActions;
using nlohmann::json;

constexpr std::chrono::milliseconds kSyncTimeout{2000};
// Estimated HTTP/2 overhead of one call in both directions: frame headers and
// compressed header fields.
constexpr std::size_t kCallOverheadBytes = 150;

auto StoppedError() -> Error {
  return Error(ErrorKind::kUnavailable, "gossip has stopped", "this node",
               "try another node");
}

}  // namespace

class Gossip::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(boost::asio::io_context& control,
       GossipSettings settings,
       PeerClient& client,
       GossipHooks hooks,
       Clock clock,
       WallClock wall_clock,
       RandomSource random)
      : control_(control),
        client_(client),
        hooks_(std::move(hooks)),
        socket_(control, settings.listen, settings.fleet_credential),
        timer_(control),
        membership_(std::move(settings.self),
                    std::move(settings.seeds),
                    clock,
                    std::move(wall_clock),
                    random),
        feeds_(
            std::move(settings.feeds),
            [this] { return OtherMembers(); },
            std::move(clock),
            std::move(random)) {}

  auto Start() -> void {
    socket_.Start([self = weak_from_this()](const json& message,
                                            const std::string& from) {
      if (auto impl = self.lock()) {
        impl->OnDatagram(message, from);
      }
    });
    Execute(membership_.Start());
    ScheduleTick();
  }

  auto bound() const -> bool { return socket_.bound(); }

  auto Leave() -> void { Execute(membership_.Leave()); }

  auto Stop() -> void {
    Execute(membership_.Stop());
    Close();
  }

  auto Close() -> void {
    closed_ = true;
    timer_.cancel();
  }

  auto OnFeedApplied(const std::string& feed, std::uint64_t revision) -> void {
    Execute(feeds_.OnApplied(feed, revision));
  }

  auto SetSeeds(std::vector<std::string> seeds) -> void {
    membership_.SetSeeds(std::move(seeds));
  }

  auto SendDatagrams(const std::vector<std::string>& addresses,
                     const json& message) -> void {
    socket_.Send(addresses, message);
  }

  auto counters() const -> GossipCounters {
    auto counters = counters_;
    counters.datagrams = socket_.counters();
    counters.sent_bytes += counters.datagrams.sent_bytes;
    counters.received_bytes += counters.datagrams.received_bytes;
    return counters;
  }

  auto membership() const -> const control::Membership& { return membership_; }
  auto feeds() const -> const control::FeedRelay& { return feeds_; }

  // Returns a handler that computes its single response frame on the control
  // io_context.
  auto MakeHandler(auto(Impl::*handler)(const json&)->json) -> Handler {
    return [weak = weak_from_this(), handler, &control = control_](
               json request,
               std::shared_ptr<Responder> responder) -> awaitable<void> {
      return RunHandler(weak, handler, control, std::move(request),
                        std::move(responder));
    };
  }

  auto HandleSync(const json& message) -> json {
    const auto request = detail::DecodeSyncRequest(message);
    control::SyncResponse response;
    Execute(membership_.OnSyncRequest(request, response));
    return detail::EncodeSyncResponse(response);
  }

  auto HandleFeed(const json& message) -> json {
    std::string feed;
    std::uint64_t since = 0;
    detail::Read(message, "feed", feed);
    detail::Read(message, "since", since);
    const auto revisions = feeds_.revisions();
    const auto revision = revisions.find(feed);
    if (revision == revisions.end() || !hooks_.read_feed) {
      throw Error(ErrorKind::kNotFound, "no such feed", feed,
                  "check that both nodes run compatible releases");
    }
    json response = {{"revision", revision->second}};
    if (revision->second > since) {
      response["content"] = hooks_.read_feed(feed, since);
    }
    return response;
  }

 private:
  using RequestHandler = auto(Impl::*)(const json&) -> json;

  static auto RunHandler(std::weak_ptr<Impl> weak,
                         RequestHandler handler,
                         boost::asio::io_context& control,
                         json request,
                         std::shared_ptr<Responder> responder)
      -> awaitable<void> {
    // co_await resumes on the stream's io_context with the result.
    const auto frame = co_await boost::asio::co_spawn(
        control, ComputeResponse(std::move(weak), handler, std::move(request)),
        boost::asio::use_awaitable);
    responder->Send(frame);
  }

  static auto ComputeResponse(std::weak_ptr<Impl> weak,
                              RequestHandler handler,
                              json request) -> awaitable<json> {
    const auto impl = weak.lock();
    if (!impl || impl->closed_) {
      throw StoppedError();
    }
    auto frame = ((*impl).*handler)(request);
    impl->counters_.received_bytes += EncodeMessage(request).size();
    impl->counters_.sent_bytes +=
        EncodeMessage(frame).size() + kCallOverheadBytes;
    co_return frame;
  }

  auto OtherMembers() const -> std::vector<routing::NodeInfo> {
    auto nodes = membership_.live();
    std::erase_if(nodes, [&](const auto& node) {
      return node.id == membership_.self().id;
    });
    return nodes;
  }

  auto ScheduleTick() -> void {
    timer_.expires_after(control::kMembershipTick);
    timer_.async_wait(
        [weak = weak_from_this()](const boost::system::error_code& error) {
          const auto self = weak.lock();
          if (error || !self || self->closed_) {
            return;
          }
          self->Execute(self->membership_.OnTick());
          self->Execute(self->feeds_.OnTick());
          self->ScheduleTick();
        });
  }

  auto OnDatagram(const json& message, const std::string& from) -> void {
    if (closed_) {
      return;
    }
    try {
      if (!detail::IsMembershipDatagram(message)) {
        if (hooks_.datagram) {
          hooks_.datagram(message, from);
        }
        return;
      }
      const auto decoded = detail::DecodeMembership(message);
      const auto revisions = detail::DecodeRevisions(message);
      Execute(membership_.OnMessage(decoded, from));
      if (membership_.IsLive(decoded.from, decoded.incarnation)) {
        Execute(feeds_.OnPeerRevisions(from, revisions));
      }
    } catch (const std::exception&) {
      ++counters_.malformed;
    }
  }

  auto Execute(const MembershipActions& actions) -> void {
    for (const auto& [address, message] : actions.datagrams) {
      // Only heartbeats carry revisions, to keep probes and replies short.
      const auto with_revisions =
          message.type == control::MembershipMessageType::kHeartbeat;
      SendMessage(
          address, message,
          with_revisions ? feeds_.revisions() : control::FeedRevisions());
    }
    for (const auto& sync : actions.syncs) {
      boost::asio::co_spawn(control_,
                            Sync(shared_from_this(), sync.address,
                                 detail::EncodeSyncRequest(sync.request)),
                            boost::asio::detached);
    }
    if (actions.restarted && hooks_.restarted) {
      hooks_.restarted(*actions.restarted);
    }
    if (actions.members_changed) {
      Execute(feeds_.OnMembersChanged());
      ScheduleMembersReport();
    }
  }

  auto Execute(const FeedActions& actions) -> void {
    for (const auto& notice : actions.notices) {
      control::MembershipMessage message;
      message.from = membership_.self().id;
      message.incarnation = membership_.self().incarnation;
      SendMessage(notice.address, message, {{notice.feed, notice.revision}});
    }
    for (const auto& pull : actions.pulls) {
      boost::asio::co_spawn(control_, Pull(shared_from_this(), pull),
                            boost::asio::detached);
    }
  }

  auto SendMessage(const std::string& address,
                   const control::MembershipMessage& message,
                   const control::FeedRevisions& revisions) -> void {
    try {
      socket_.Send(address, detail::EncodeDatagram(message, revisions));
    } catch (const Error&) {
      // A seed or member with an invalid address.
      ++counters_.malformed;
    }
  }

  // Reports a burst of changes once.
  auto ScheduleMembersReport() -> void {
    if (members_report_scheduled_ || !hooks_.members_changed) {
      return;
    }
    members_report_scheduled_ = true;
    boost::asio::post(control_, [weak = weak_from_this()] {
      const auto self = weak.lock();
      if (self && !self->closed_) {
        self->members_report_scheduled_ = false;
        self->hooks_.members_changed(self->membership_.live());
      }
    });
  }

  // Makes a call on the control channel whose response is one frame.
  auto CallForResponse(std::string address, std::string name, json request)
      -> awaitable<json> {
    std::optional<json> response;
    counters_.sent_bytes += EncodeMessage(request).size() + kCallOverheadBytes;
    co_await client_.Call(
        address, Channel::kControl, std::move(name), std::move(request),
        [&response](const json& frame) { response = frame; }, kSyncTimeout,
        nullptr);
    if (!response) {
      throw Error(ErrorKind::kUnavailable, "no response from node", address,
                  "try another node");
    }
    counters_.received_bytes += EncodeMessage(*response).size();
    co_return std::move(*response);
  }

  static auto Sync(std::shared_ptr<Impl> self,
                   std::string address,
                   json request) -> awaitable<void> {
    std::optional<control::SyncResponse> response;
    try {
      response = detail::DecodeSyncResponse(
          co_await self->CallForResponse(address, "sync", std::move(request)));
    } catch (const std::exception&) {
      ++self->counters_.failed_syncs;
    }
    if (!self->closed_) {
      self->Execute(response
                        ? self->membership_.OnSyncResponse(address, *response)
                        : self->membership_.OnSyncFailed(address));
    }
  }

  static auto Pull(std::shared_ptr<Impl> self, FeedActions::Pull pull)
      -> awaitable<void> {
    auto pulled = false;
    try {
      // A named variable, because g++ 12 rejects the initializer list inside
      // co_await.
      json request = {{"feed", pull.feed}, {"since", pull.since}};
      const auto response = co_await self->CallForResponse(pull.address, "feed",
                                                           std::move(request));
      std::uint64_t revision = 0;
      detail::Read(response, "revision", revision);
      const auto* content = detail::Find(response, "content");
      if (!self->closed_ && content != nullptr && self->hooks_.apply_feed &&
          self->feeds_.Accepts(pull.feed, revision)) {
        const auto held =
            self->hooks_.apply_feed(pull.feed, revision, *content);
        self->Execute(self->feeds_.OnApplied(pull.feed, held));
      }
      pulled = true;
    } catch (const std::exception&) {
      ++self->counters_.failed_pulls;
    }
    if (!self->closed_) {
      self->Execute(pulled ? self->feeds_.OnPulled(pull.feed, pull.id)
                           : self->feeds_.OnPullFailed(pull.feed, pull.id));
    }
  }

  boost::asio::io_context& control_;
  PeerClient& client_;
  GossipHooks hooks_;
  DatagramSocket socket_;
  boost::asio::steady_timer timer_;
  control::Membership membership_;
  control::FeedRelay feeds_;
  GossipCounters counters_;
  bool members_report_scheduled_ = false;
  bool closed_ = false;
};

Gossip::Gossip(boost::asio::io_context& control,
               GossipSettings settings,
               PeerClient& client,
               GossipHooks hooks,
               Clock clock,
               WallClock wall_clock,
               RandomSource random)
    : impl_(std::make_shared<Impl>(control,
                                   std::move(settings),
                                   client,
                                   std::move(hooks),
                                   std::move(clock),
                                   std::move(wall_clock),
                                   std::move(random))) {}

Gossip::~Gossip() {
  impl_->Close();
}

auto Gossip::RegisterHandlers(PeerServer& server) -> void {
  server.Register("sync", impl_->MakeHandler(&Impl::HandleSync));
  server.Register("feed", impl_->MakeHandler(&Impl::HandleFeed));
}

auto Gossip::Start() -> void {
  impl_->Start();
}

auto Gossip::bound() const -> bool {
  return impl_->bound();
}

auto Gossip::Leave() -> void {
  impl_->Leave();
}

auto Gossip::Stop() -> void {
  impl_->Stop();
}

auto Gossip::OnFeedApplied(const std::string& feed, std::uint64_t revision)
    -> void {
  impl_->OnFeedApplied(feed, revision);
}

auto Gossip::SetSeeds(std::vector<std::string> seeds) -> void {
  impl_->SetSeeds(std::move(seeds));
}

auto Gossip::SendDatagram(const std::string& address, const json& message)
    -> void {
  impl_->SendDatagrams({address}, message);
}

auto Gossip::SendDatagrams(const std::vector<std::string>& addresses,
                           const json& message) -> void {
  impl_->SendDatagrams(addresses, message);
}

auto Gossip::membership() const -> const control::Membership& {
  return impl_->membership();
}

auto Gossip::feeds() const -> const control::FeedRelay& {
  return impl_->feeds();
}

auto Gossip::counters() const -> GossipCounters {
  return impl_->counters();
}

}  // namespace kumquatgauge::node
