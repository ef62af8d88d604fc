#include "kumquatgauge/upstream/replica_call.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <optional>

#include "testing/support/run_until.h"
#include "upstream/connection_pool.h"

namespace kumquatgauge::upstream {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using testing::RunAwait;
using testing::RunUntil;

// Larger than the buffers of two sockets, so that writing it blocks.
constexpr std::size_t kLongBody = 24'000'000;
// Larger than the buffer that a socket has at first.
constexpr std::size_t kMediumBody = 2'000'000;
constexpr std::size_t kTinyBody = 8;
constexpr int kStatus = 200;
constexpr auto kResponse =
    std::string_view("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");

// The replica's end of a connection, controlled by a test.
class ReplicaConnection {
 public:
  explicit ReplicaConnection(tcp::socket socket) : socket_(std::move(socket)) {
    socket_.non_blocking(true);
  }

  auto Respond() -> void { Write(kResponse); }
  auto Write(std::string_view text) -> void {
    asio::write(socket_, asio::buffer(text));
  }

  // Reads what has arrived.
  auto Read() -> void {
    auto bytes = std::string(65'536, '\0');
    auto error = boost::system::error_code();
    const auto size = socket_.read_some(asio::buffer(bytes), error);
    received_.append(bytes, 0, size);
    ended_ = ended_ || (error && error != asio::error::would_block);
  }

  auto Reset() -> void {
    socket_.set_option(asio::socket_base::linger(true, 0));
    socket_.close();
  }
  auto ShutdownSend() -> void { socket_.shutdown(tcp::socket::shutdown_send); }

  auto received() const -> const std::string& { return received_; }
  auto ended() const -> bool { return ended_; }

 private:
  tcp::socket socket_;
  std::string received_;
  bool ended_ = false;
};

// Accepts a connection and writes `begin`, then `repeated` until the caller
// closes it.
auto WriteWithoutEnd(tcp::acceptor& acceptor,
                     std::string begin,
                     std::string repeated,
                     bool& closed) -> asio::awaitable<void> {
  constexpr std::size_t kWriteSize = 16'000;
  auto socket = co_await acceptor.async_accept(asio::use_awaitable);
  auto text = std::string();
  while (text.size() < kWriteSize) {
    text += repeated;
  }
  auto error = boost::system::error_code();
  co_await asio::async_write(socket, asio::buffer(begin),
                             asio::redirect_error(asio::use_awaitable, error));
  while (!error) {
    co_await asio::async_write(
        socket, asio::buffer(text),
        asio::redirect_error(asio::use_awaitable, error));
  }
  closed = true;
}

// Reads an answer without keeping its body.
auto ReadToTheEnd(std::shared_ptr<ReplicaCaller::Call> call,
                  bool progress = false) -> asio::awaitable<CallEnd> {
  auto end = co_await call->Open();
  while (end == CallEnd::kOpen) {
    auto body = std::string();
    end = co_await call->Read(body);
    if (progress) {
      call->OnProgress();
    }
  }
  co_return end;
}

struct Fixture {
  auto MakeRequest(const std::string& target,
                   std::string body,
                   std::uint32_t max_sends = 1) const -> ReplicaRequest {
    auto request = ReplicaRequest();
    request.address =
        "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    request.id = target;
    request.method = "POST";
    request.target = target;
    request.headers = {{"Host", "h"}};
    request.body = std::make_shared<const std::string>(std::move(body));
    request.max_sends = max_sends;
    request.deadline =
        std::chrono::steady_clock::now() + std::chrono::seconds(15);
    request.head_timeout = std::chrono::seconds(15);
    request.body_idle_timeout = std::chrono::seconds(15);
    return request;
  }

  auto Start(const std::string& target,
             std::string body,
             std::uint32_t max_sends = 1)
      -> std::shared_ptr<ReplicaCaller::Call> {
    return caller.Start(MakeRequest(target, std::move(body), max_sends),
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

  // Sends a request, which arrives at `replica`, and reads the whole answer.
  auto Run(const std::string& target,
           ReplicaConnection& replica,
           std::string_view answer = kResponse) -> void {
    const auto call = Start(target, "");
    Open(call);
    Answer(call, target, replica, answer);
  }
  // The same on the next connection.
  auto RunOnNewConnection(const std::string& target)
      -> std::unique_ptr<ReplicaConnection> {
    const auto call = Start(target, "");
    Open(call);
    auto replica = Accept();
    Answer(call, target, *replica, kResponse);
    return replica;
  }
  auto Answer(const std::shared_ptr<ReplicaCaller::Call>& call,
              const std::string& target,
              ReplicaConnection& replica,
              std::string_view answer) -> void {
    REQUIRE(RunUntil(context, [&] {
      replica.Read();
      return replica.received().find(target + " ") != std::string::npos;
    }));
    replica.Write(answer);
    REQUIRE(RunUntil(context, [&] { return call->head().status == kStatus; }));
    REQUIRE(ReadWhole(call) == CallEnd::kComplete);
  }

  asio::io_context context{1};
  tcp::acceptor acceptor{context, {asio::ip::address_v4::loopback(), 0}};
  ReplicaCaller caller{context.get_executor(), ConnectionSettings()};
};

// Guards against a part of an answer that is passed on as a whole one: a body
// without a length ends with its connection, and a write that is pending when
// the replica resets it hides the reset from the read.
TEST_CASE("ReplicaCaller.TakesNoAnswerCutDuringTheUploadForAWholeOne") {
  constexpr auto kCutAnswer = std::string_view("HTTP/1.1 200 OK\r\n\r\npart");
  const auto size = GENERATE(kTinyBody, kMediumBody, kLongBody);
  for (auto round = 0; round < 10; ++round) {
    CAPTURE(size, round);
    auto fixture = Fixture();
    const auto call = fixture.Start("/x", std::string(size, 'x'));
    fixture.Open(call);
    auto replica = fixture.Accept();
    // Most of the upload stays unread, so that the write is pending.
    REQUIRE(RunUntil(fixture.context, [&] {
      replica->Read();
      return replica->received().size() >= std::min(size, kMediumBody / 2);
    }));
    replica->Write(kCutAnswer);
    REQUIRE(RunUntil(fixture.context,
                     [&] { return call->head().status == kStatus; }));
    replica->Reset();
    auto body = std::string();
    auto end = CallEnd::kOpen;
    while (end == CallEnd::kOpen) {
      end = RunAwait(fixture.context, call->Read(body));
    }
    CHECK(end == CallEnd::kBroken);
  }
}

// Guards against an answer that is lost because it came, whole, before the
// upload was read.
TEST_CASE("ReplicaCaller.TakesAnAnswerWithALengthDuringTheUpload") {
  auto fixture = Fixture();
  const auto call = fixture.Start("/x", std::string(kLongBody, 'x'));
  fixture.Open(call);
  auto replica = fixture.Accept();
  replica->Respond();
  REQUIRE(RunUntil(fixture.context,
                   [&] { return call->head().status == kStatus; }));
  CHECK(fixture.ReadWhole(call) == CallEnd::kComplete);
}

// Guards against an answer with a status that does not exist, and against a
// body that is taken for an answer, because its head was taken for an
// informational one.
TEST_CASE("ReplicaCaller.TakesNoHeadWithoutAStatusForAnAnswer") {
  const auto* const status =
      GENERATE("000", "099", "101", "600", "999", "20", "0200", "-20");
  CAPTURE(status);
  auto fixture = Fixture();
  const auto call = fixture.Start("/x", "");
  auto end = std::optional<CallEnd>();
  asio::co_spawn(fixture.context, call->Open(),
                 [&](const std::exception_ptr& /*error*/, CallEnd opened) {
                   end = opened;
                 });
  auto replica = fixture.Accept();
  replica->Write("HTTP/1.1 " + std::string(status) + " X\r\n\r\n" +
                 std::string(kResponse));
  REQUIRE(RunUntil(fixture.context, [&] { return end.has_value(); }));
  CHECK(end == CallEnd::kMalformed);
}

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

// Guards against an answer that belongs to an earlier request with the same id,
// and against a new connection for each request.
TEST_CASE("ReplicaCaller.SendsNoIdTwiceOnAConnection") {
  auto fixture = Fixture();
  const auto first = fixture.RunOnNewConnection("/a");
  const auto second = fixture.RunOnNewConnection("/a");
  fixture.Run("/b", *second);
  fixture.Run("/b", *first);
  CHECK(fixture.caller.opened() == 2);
}

// Guards against a second copy of an answer that is taken for the answer to the
// next request on its connection.
TEST_CASE("ReplicaCaller.UsesNoConnectionWithBytesThatNoRequestWaitsFor") {
  auto fixture = Fixture();
  const auto first = fixture.RunOnNewConnection("/a");
  first->Respond();
  const auto second = fixture.RunOnNewConnection("/b");
  fixture.Run("/c", *second, std::string(kResponse).append(kResponse));
  fixture.RunOnNewConnection("/d");
}

// Guards against memory that grows with the number of requests on a connection.
TEST_CASE("ReplicaCaller.ClosesAConnectionThatHasCarriedManyIds") {
  auto fixture = Fixture();
  const auto replica = fixture.RunOnNewConnection("/first");
  for (std::size_t number = 1; number < detail::CarriedIds::kMax; ++number) {
    fixture.Run("/" + std::to_string(number), *replica);
  }
  CHECK(fixture.caller.opened() == 1);
  CHECK(RunUntil(fixture.context, [&] {
    replica->Read();
    return replica->ended();
  }));
  fixture.RunOnNewConnection("/last");
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

// Guards against a request that is held beyond its deadline, and against memory
// that grows, while a replica sends bytes that are no answer until its caller
// closes the connection.
TEST_CASE("ReplicaCaller.EndsACallWhoseReplicaSendsBytesWithoutEnd") {
  struct Case {
    std::string begin;
    std::string repeated;
  };
  const auto ok = std::string("HTTP/1.1 200 OK\r\n");
  const auto cases = std::vector<Case>{
      {"", "x"},
      {"HTTP/1.1 200 ", "O"},
      {ok, "Name: value\r\n"},
      {ok + "Name: ", "v"},
      {"", "HTTP/1.1 100 Continue\r\n\r\n"},
      {ok + "Transfer-Encoding: chunked\r\n\r\n", "0"},
      {ok + "Transfer-Encoding: chunked\r\n\r\n1;", "e"},
      {ok + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n"},
      {ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "Name: value\r\n"},
      {ok + "\r\n", "body"},
      {ok + "Other: 1\r\n\r\n", "body"},
      {"", ok + "Other: 1\r\nContent-Length: 0\r\n\r\n"},
  };
  for (const auto& [begin, repeated] : cases) {
    CAPTURE(begin, repeated);
    constexpr std::chrono::milliseconds kDeadline{600};
    constexpr std::chrono::milliseconds kTimeout{300};
    constexpr std::chrono::milliseconds kLateness{1'000};
    auto fixture = Fixture();
    auto closed = false;
    asio::co_spawn(fixture.context,
                   WriteWithoutEnd(fixture.acceptor, begin, repeated, closed),
                   asio::detached);
    auto request = fixture.MakeRequest("/endless", "");
    request.deadline = std::chrono::steady_clock::now() + kDeadline;
    request.head_timeout = kTimeout;
    request.body_idle_timeout = kTimeout;
    auto call =
        fixture.caller.Start(std::move(request), [](const ReplicaHead& head) {
          return FindHeader(head.headers, "Other").empty();
        });
    auto end = std::optional<CallEnd>();
    asio::co_spawn(
        fixture.context, ReadToTheEnd(call),
        [&](const std::exception_ptr&, CallEnd result) { end = result; });
    CHECK(RunUntil(
        fixture.context, [&] { return end.has_value(); },
        kDeadline + kLateness));
    CHECK(end != CallEnd::kComplete);
    call->Cancel();
    call = nullptr;
    CHECK(RunUntil(fixture.context, [&] { return closed; }));
  }
}

// Guards against an answer that never ends because bytes arrive that are of no
// use, and against one that is cut although it makes progress.
TEST_CASE("ReplicaCaller.EndsAnAnswerThatMakesNoProgress") {
  constexpr std::chrono::milliseconds kDeadline{1'000};
  constexpr std::chrono::milliseconds kTimeout{250};
  for (const auto progress : {false, true}) {
    CAPTURE(progress);
    auto fixture = Fixture();
    auto closed = false;
    asio::co_spawn(
        fixture.context,
        WriteWithoutEnd(fixture.acceptor,
                        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                        "1\r\nx\r\n", closed),
        asio::detached);
    auto request = fixture.MakeRequest("/endless", "");
    request.deadline = std::chrono::steady_clock::now() + kDeadline;
    request.head_timeout = kDeadline;
    request.body_idle_timeout = kDeadline;
    request.progress_timeout = kTimeout;
    const auto call = fixture.caller.Start(
        std::move(request), [](const ReplicaHead&) { return true; });
    CHECK(RunAwait(fixture.context, ReadToTheEnd(call, progress)) ==
          (progress ? CallEnd::kDeadline : CallEnd::kSilent));
  }
}

// Guards against an answer that is lost because it has neither a length nor
// chunks, and against one that is cut by a reset and looks complete.
TEST_CASE("ReplicaCaller.ReadsAnAnswerThatEndsWithItsConnection") {
  for (const auto reset : {false, true}) {
    CAPTURE(reset);
    auto fixture = Fixture();
    const auto call = fixture.Start("/plain", "");
    auto opened = std::optional<CallEnd>();
    asio::co_spawn(
        fixture.context, call->Open(),
        [&](const std::exception_ptr&, CallEnd end) { opened = end; });
    auto replica = fixture.Accept();
    replica->Write("HTTP/1.1 200 OK\r\n\r\nwhole");
    REQUIRE(RunUntil(fixture.context, [&] { return opened.has_value(); }));
    REQUIRE(opened == CallEnd::kOpen);
    auto body = std::string();
    CHECK(RunAwait(fixture.context, call->Read(body)) == CallEnd::kOpen);
    reset ? replica->Reset() : replica->ShutdownSend();
    const auto end = RunAwait(fixture.context, call->Read(body));
    CHECK(end == (reset ? CallEnd::kBroken : CallEnd::kComplete));
    CHECK(body == "whole");
  }
}

// Guards against a request that reaches a replica long after this has become
// unusable, because its connection took long to open.
TEST_CASE("ReplicaCaller.SendsNothingOnceTheRequestMayNotBeSent") {
  auto fixture = Fixture();
  auto request = fixture.MakeRequest("/withheld", "");
  request.may_send = [] { return false; };
  const auto call = fixture.caller.Start(
      std::move(request), [](const ReplicaHead&) { return true; });
  CHECK(RunAwait(fixture.context, call->Open()) == CallEnd::kNotSent);
  CHECK_FALSE(call->bytes_sent());
  CHECK_FALSE(call->reason().empty());
}

// Guards against the same when a kept connection was lost and the request would
// be sent again, and against a report that it was not sent.
TEST_CASE("ReplicaCaller.SendsNotAgainOnceTheRequestMayNotBeSent") {
  constexpr std::uint32_t kSends = 2;
  auto fixture = Fixture();
  const auto warm = fixture.Start("/warm", "");
  auto opened = std::optional<CallEnd>();
  asio::co_spawn(
      fixture.context, warm->Open(),
      [&](const std::exception_ptr&, CallEnd result) { opened = result; });
  const auto kept = fixture.Accept();
  kept->Respond();
  REQUIRE(RunUntil(fixture.context, [&] { return opened.has_value(); }));
  REQUIRE(fixture.ReadWhole(warm) == CallEnd::kComplete);
  auto may_send = true;
  auto request = fixture.MakeRequest("/withheld", "", kSends);
  request.may_send = [&] { return may_send; };
  const auto call = fixture.caller.Start(
      std::move(request), [](const ReplicaHead&) { return true; });
  auto end = std::optional<CallEnd>();
  asio::co_spawn(
      fixture.context, call->Open(),
      [&](const std::exception_ptr&, CallEnd result) { end = result; });
  REQUIRE(RunUntil(fixture.context, [&] {
    kept->Read();
    return kept->received().find("/withheld") != std::string::npos;
  }));
  may_send = false;
  kept->Reset();
  const auto fresh = fixture.Accept();
  REQUIRE(RunUntil(fixture.context, [&] { return end.has_value(); }));
  CHECK(end == CallEnd::kBroken);
  CHECK(call->sends() == 1);
  fresh->Read();
  CHECK(fresh->received().empty());
}

}  // namespace
}  // namespace kumquatgauge::upstream
