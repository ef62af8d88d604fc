#include "kumquatgauge/node/message.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <random>

#include "node/frame_codec.h"
#include "node/membership_codec.h"

namespace kumquatgauge::node {
namespace {

using nlohmann::json;

constexpr std::uint64_t kSeed = 99;
constexpr int kGarbageMessages = 20000;

auto SampleRequest() -> routing::CompletionRequest {
  routing::CompletionRequest request;
  request.id = RequestId("r-1");
  request.organisation = OrganisationName("bar");
  request.service = ServiceName("summary");
  request.work_class = routing::WorkClass::kBatch;
  request.endpoint = routing::CompletionEndpoint::kChatCompletions;
  request.body = std::string("{\"prompt\":\"\xff\0\"}", 14);
  request.affinity = ~std::uint64_t{0};
  request.max_tokens = 300;
  request.time_left = std::chrono::milliseconds(900);
  request.slack = std::chrono::milliseconds(-5);
  request.exclusive = true;
  request.resume_offset = 17;
  request.resume_text = "so far";
  return request;
}

auto SampleResult() -> routing::DispatchResult {
  routing::DispatchResult result;
  result.kind = routing::DispatchResult::Kind::kPreempted;
  result.outcome = {OutcomeKind::kNotRun, "busy", std::chrono::milliseconds(40),
                    12};
  result.finish_reason = "length";
  result.load = {ReplicaId("m-3"), 1, 2, 3, 4, 5};
  return result;
}

// Encodes and decodes a message, as between two nodes.
auto RoundTrip(const json& message) -> json {
  return DecodeMessage(EncodeMessage(message));
}

// Guards against a field that is lost or altered by encoding and decoding.
TEST_CASE("Message.ReadsBackEveryValue") {
  const auto request = SampleRequest();
  CHECK(CompletionRequestFrom(RoundTrip(ToMessage(request))) == request);
  const auto result = SampleResult();
  CHECK(DispatchResultFrom(RoundTrip(ToMessage(result))) == result);
  const routing::Token token{1234567, "w\xc3\xb6rd"};
  CHECK(TokenFrom(RoundTrip(ToMessage(token))) == token);
  const Error error(ErrorKind::kUnknownOutcome, "lost", "node-1", "ask again");
  const auto back = ErrorFrom(RoundTrip(ToMessage(error)));
  CHECK(back.kind() == error.kind());
  CHECK(std::string(back.what()) == error.what());
}

// Guards against two releases that cannot run in the same fleet.
TEST_CASE("Message.IgnoresUnknownFieldsAndDefaultsAbsentOnes") {
  CHECK(TokenFrom(RoundTrip({{"t", "x"}, {"new", json::array({1, 2})}})) ==
        routing::Token{0, "x"});
  CHECK(CompletionRequestFrom(RoundTrip(json::object())) ==
        routing::CompletionRequest{});
  CHECK(ErrorFrom(RoundTrip({{"kind", "newer"}})).kind() ==
        ErrorKind::kInternal);
}

// Guards against the version being overwritten or omitted.
TEST_CASE("Message.AddsVersionToMapsOfAnySize") {
  for (const auto size : {0, 1, 14, 15, 16, 40}) {
    json message = json::object();
    for (auto i = 0; i < size; ++i) {
      message["f" + std::to_string(i)] = i;
    }
    auto expected = message;
    expected["v"] = 1;
    CHECK(RoundTrip(message) == expected);
  }
  CHECK_THROWS_AS(RoundTrip({{"v", 2}}), Error);
}

// Guards against values that overflow or have the wrong type.
TEST_CASE("Message.RefusesWrongTypesAndRanges") {
  CHECK_THROWS_AS(TokenFrom({{"o", -1}}), Error);
  CHECK_THROWS_AS(TokenFrom({{"t", 5}}), Error);
  CHECK_THROWS_AS(TokenFrom(json::array()), Error);
  CHECK_THROWS_AS(CompletionRequestFrom({{"max_tokens", 1ULL << 40}}), Error);
  CHECK_THROWS_AS(CompletionRequestFrom({{"time_left", ~0ULL}}), Error);
  CHECK_THROWS_AS(DispatchResultFrom({{"kind", "other"}}), Error);
  CHECK_THROWS_AS(DispatchResultFrom({{"load", 3}}), Error);
}

// Guards against a stack overflow on deeply nested input.
TEST_CASE("Message.RefusesDeepNesting") {
  for (const auto* level : {"\x91", "\x81\xa1x"}) {
    std::string bytes = "\x81\xa1n";
    for (auto i = 0; i < 1000000; ++i) {
      bytes += level;
    }
    CHECK_THROWS_AS(DecodeMessage(bytes), Error);
  }
}

// Guards against a crash or an unexpected exception on corrupted or random
// bytes.
TEST_CASE("Message.SurvivesGarbage") {
  INFO("seed " << kSeed);
  std::mt19937_64 random(kSeed);
  control::MembershipMessage notice;
  notice.from = NodeId("n");
  notice.records.resize(3);
  const std::vector<std::string> samples = {
      EncodeMessage(ToMessage(SampleRequest())),
      EncodeMessage(ToMessage(SampleResult())),
      EncodeMessage(detail::EncodeDatagram(notice, {{"config", 5}}))};
  auto decoded = 0;
  auto refused = 0;
  for (auto i = 0; i < kGarbageMessages; ++i) {
    auto bytes = samples[random() % samples.size()];
    if (i % 4 == 0) {
      bytes.resize(random() % 64);
      for (auto& byte : bytes) {
        byte = static_cast<char>(random());
      }
    } else {
      for (auto changes = random() % 4 + 1; changes > 0; --changes) {
        bytes[random() % bytes.size()] = static_cast<char>(random());
      }
      bytes.resize(bytes.size() - random() % 2);
    }
    try {
      const auto message = DecodeMessage(bytes);
      ++decoded;
      CompletionRequestFrom(message);
      DispatchResultFrom(message);
      ErrorFrom(message);
      detail::DecodeMembership(message);
      detail::DecodeRevisions(message);
      detail::DecodeSyncRequest(message);
    } catch (const Error& error) {
      ++refused;
      REQUIRE(error.kind() == ErrorKind::kInvalidArgument);
    }
  }
  CHECK(decoded > 0);
  CHECK(refused > 0);
}

// Guards against frames that are lost or altered when they arrive in pieces.
TEST_CASE("FrameReader.CutsFramesAtAnyBoundary") {
  std::string bytes;
  const std::vector<std::string> frames = {"a", "", std::string(300, 'x'), "b"};
  for (const auto& frame : frames) {
    detail::AppendFrame(frame, bytes);
  }
  for (std::size_t step = 1; step <= bytes.size(); ++step) {
    detail::FrameReader reader;
    std::vector<std::string> seen;
    for (std::size_t at = 0; at < bytes.size(); at += step) {
      reader.Add(std::string_view(bytes).substr(at, step),
                 [&](std::string_view frame) { seen.emplace_back(frame); });
    }
    REQUIRE(seen == frames);
  }
}

// Guards against a large allocation caused by a length field alone.
TEST_CASE("FrameReader.RefusesTooLongFrame") {
  detail::FrameReader reader;
  CHECK_THROWS_AS(reader.Add("\x7f\xff\xff\xff", [](std::string_view) {}),
                  Error);
}

}  // namespace
}  // namespace kumquatgauge::node
