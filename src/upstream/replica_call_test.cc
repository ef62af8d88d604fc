#include "kumquatgauge/upstream/replica_call.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <optional>

#include "testing/support/run_until.h"

namespace kumquatgauge::upstream {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using testing::RunAwait;
using testing::RunUntil;

// Larger than the buffers of two sockets, so that writing it blocks.
constexpr std::size_t kLongBody = 24'000'000;
constexpr auto kResponse =
    std::string_view("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");

// The replica's end of a connection, controlled by a test.
class ReplicaConnection {
 public:
  explicit ReplicaConnection(tcp::socket socket) : socket_(std::move(socket)) {
    socket_.non_blocking(true);
  }

  auto Respond() -> void { asio::write(socket_, asio::buffer(kResponse)); }

  // Reads what has arrived.
  auto Read() -> void {
    auto bytes = std::string(65'536, '\0');
    auto error = boost::system::error_code();
    const auto size = socket_.read_some(asio::buffer(bytes), error);
    received_.append(bytes, 0, size);
    ended_ = ended_ || (error && error != asio::error::would_block);
  }

  auto ShutdownSend() -> void { socket_.shutdown(tcp::socket::shutdown_send); }

  auto received() const -> const std::string& { return received_; }
  auto ended() const -> bool { return ended_; }

 private:
  tcp::socket socket_;
  std::string received_;
  bool ended_ = false;
};

struct Fixture {
  auto Start(const std::string& target,
             std::string body,
             std::uint32_t max_sends = 1)
      -> std::shared_ptr<ReplicaCaller::Call> {
    auto request = ReplicaRequest();
    request.address =
        "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    request.method = "POST";
    request.target = target;
    request.headers = {{"Host", "h"}};
    request.body = std::move(body);
    request.max_sends = max_sends;
    request.deadline =
        std::chrono::steady_clock::now() + std::chrono::seconds(15);
    request.head_timeout = std::chrono::seconds(15);
    request.body_idle_timeout = std::chrono::seconds(15);
    return caller.Start(std::move(request),
                        [](const ReplicaHead&) { return true; });
  }

  // Waits for the next connection.
  auto Accept() -> std::unique_ptr<ReplicaConnection> {
    auto end = std::unique_ptr<ReplicaConnection>();
    acceptor.async_accept([&](const auto& error, tcp::socket socket) {
      REQUIRE_FALSE(error);
      end = std::make_unique<ReplicaConnection>(std::move(socket));
    });
    REQUIRE(RunUntil(context, [&] { return end != nullptr; }));
    return end;
  }

  auto ReadWhole(const std::shared_ptr<ReplicaCaller::Call>& call) -> CallEnd {
    auto body = std::string();
    return RunAwait(context, call->Read(body));
  }

  // Opens a call in the background.
  auto Open(const std::shared_ptr<ReplicaCaller::Call>& call) -> void {
    asio::co_spawn(context, call->Open(), asio::detached);
  }

  asio::io_context context{1};
  tcp::acceptor acceptor{context, {asio::ip::address_v4::loopback(), 0}};
  ReplicaCaller caller{context.get_executor(), ConnectionSettings()};
};

// Guards against a request in the middle of the body of an earlier one: the
// replica responded before it had read the body, and the connection was reused.
TEST_CASE("ReplicaCaller.KeepsNoConnectionOnWhichABodyIsStillDue") {
  auto fixture = Fixture();
  const auto first = fixture.Start("/first", std::string(kLongBody, 'b'));
  auto opened = std::optional<CallEnd>();
  asio::co_spawn(fixture.context, first->Open(),
                 [&](const std::exception_ptr&, CallEnd end) { opened = end; });
  const auto replica = fixture.Accept();
  replica->Respond();
  REQUIRE(RunUntil(fixture.context, [&] { return opened.has_value(); }));
  CHECK(opened == CallEnd::kOpen);
  CHECK(fixture.ReadWhole(first) == CallEnd::kComplete);
  const auto second = fixture.Start("/second", "short");
  fixture.Open(second);
  const auto other = fixture.Accept();
  CHECK(RunUntil(fixture.context, [&] {
    replica->Read();
    return replica->ended();
  }));
  const auto& bytes = replica->received();
  CHECK(bytes.find("/second") == std::string::npos);
  const auto body = bytes.find("\r\n\r\n") + 4;
  CHECK(bytes.find_first_not_of('b', body) == std::string::npos);
  CHECK(RunUntil(fixture.context, [&] {
    other->Read();
    return other->received().ends_with("short");
  }));
}

// Guards against writing the first copy of a request to the end after a second
// one was sent and the call was cancelled.
TEST_CASE("ReplicaCaller.StopsWritingOnAConnectionThatItReplaces") {
  constexpr std::uint32_t kSends = 2;
  auto fixture = Fixture();
  const auto warm = fixture.Start("/warm", "");
  auto opened = std::optional<CallEnd>();
  asio::co_spawn(fixture.context, warm->Open(),
                 [&](const std::exception_ptr&, CallEnd end) { opened = end; });
  const auto kept = fixture.Accept();
  kept->Respond();
  REQUIRE(RunUntil(fixture.context, [&] { return opened.has_value(); }));
  REQUIRE(fixture.ReadWhole(warm) == CallEnd::kComplete);
  const auto call = fixture.Start("/long", std::string(kLongBody, 'b'), kSends);
  fixture.Open(call);
  REQUIRE(RunUntil(fixture.context, [&] {
    kept->Read();
    return kept->received().find("/long") != std::string::npos;
  }));
  kept->ShutdownSend();
  const auto fresh = fixture.Accept();
  call->Cancel();
  CHECK(RunUntil(fixture.context, [&] {
    kept->Read();
    return kept->ended() || kept->received().size() > kLongBody;
  }));
  CHECK(kept->received().size() < kLongBody);
}

}  // namespace
}  // namespace kumquatgauge::upstream
