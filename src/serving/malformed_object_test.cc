// Feeds malformed text to each decoder of the objects that nodes store for each
// other. A decoder returns a value or throws Error.

#include <catch2/catch.hpp>
#include <functional>
#include <utility>

#include "kumquatgauge/base/error.h"
#include "kumquatgauge/serving/job.h"
#include "kumquatgauge/serving/stream_records.h"
#include "kumquatgauge/serving/token_account.h"
#include "kumquatgauge/serving/version_registry.h"
#include "testing/support/mutator.h"

namespace kumquatgauge::serving {
namespace {

using Decode = std::function<auto(const std::string&)->void>;

const JobId kJob("j1");

auto SampleState() -> std::string {
  auto state = JobState();
  state.id = kJob;
  state.owner = NodeId("n0");
  state.account = "r4";
  state.tokens = 50;
  return EncodeState(state);
}

auto SampleChunk() -> std::string {
  auto chunk = ResultChunk();
  chunk.writer = "n0.5";
  chunk.results = {{"a", true, "text"}, {"b", false, ""}};
  return EncodeChunk(chunk);
}

auto SampleRecord() -> std::string {
  return EncodeRecord({kJob, "h.example", "/jobs/1", 1'700, "{\"items\":[]}"})
      .front();
}

auto SampleAccount() -> std::string {
  auto account = TokenAccount();
  return EncodeAccount(account);
}

TEST_CASE("MalformedObject.IsAnError") {
  constexpr auto kInputs = 10'000;
  const auto decoders = std::vector<std::pair<std::string, Decode>>{
      {SampleState(), [](const auto& text) { DecodeState(kJob, text); }},
      {SampleChunk(), [](const auto& text) { DecodeChunk(kJob, text); }},
      {SampleRecord(), [](const auto& text) { DecodeRecord(kJob, {text}); }},
      {SampleRecord(), [](const auto& text) { RecordPartCount(kJob, text); }},
      {SampleAccount(), [](const auto& text) { DecodeAccount("k", text); }},
      {EncodeVersions({"v1", "v2"}),
       [](const auto& text) { DecodeVersions("k", text); }},
      {EncodeRecords({{1, {ServiceName("s"), "v1"}}}),
       [](const auto& text) { DecodeRecords("k", text); }}};
  auto mutator = testing::Mutator(6);
  for (const auto& [sample, decode] : decoders) {
    for (auto input = 0; input < testing::FuzzInputs(kInputs); ++input) {
      const auto text = mutator.Mutate({sample});
      CAPTURE(sample, text);
      auto unexpected = std::string();
      try {
        decode(text);
      } catch (const Error&) {
      } catch (const std::exception& error) {
        unexpected = error.what();
      }
      REQUIRE(unexpected.empty());
    }
  }
}

}  // namespace
}  // namespace kumquatgauge::serving
