#include "kumquatgauge/serving/event_splitter.h"

#include <catch2/catch.hpp>
#include <vector>

namespace kumquatgauge::serving {
namespace {

struct Seen {
  std::string raw;
  std::uint64_t id = 0;
  std::string data;

  auto operator==(const Seen&) const -> bool = default;
};

auto Split(EventSplitter& splitter, std::string_view bytes)
    -> std::vector<Seen> {
  auto seen = std::vector<Seen>();
  splitter.Feed(bytes, [&](const Event& event) {
    seen.push_back({std::string(event.raw), event.id, event.data});
  });
  return seen;
}

constexpr auto kTwoEvents =
    std::string_view("id: 1\ndata: a b\n\nid: 2\ndata: c\ndata: d\n\n");

TEST_CASE("EventSplitter.ReturnsIdDataAndBytesOfEachEvent") {
  auto splitter = EventSplitter();
  const auto seen = Split(splitter, kTwoEvents);
  REQUIRE(seen.size() == 2);
  CHECK(seen[0] == Seen{"id: 1\ndata: a b\n\n", 1, "a b"});
  CHECK(seen[1] == Seen{"id: 2\ndata: c\ndata: d\n\n", 2, "c\nd"});
}

// Guards against losing or duplicating an event at a packet boundary.
TEST_CASE("EventSplitter.GivesTheSameEventsHoweverBytesArrive") {
  for (std::size_t cut = 0; cut <= kTwoEvents.size(); ++cut) {
    auto splitter = EventSplitter();
    auto seen = Split(splitter, kTwoEvents.substr(0, cut));
    for (auto& event : Split(splitter, kTwoEvents.substr(cut))) {
      seen.push_back(std::move(event));
    }
    REQUIRE(seen.size() == 2);
    CHECK(seen[0].raw + seen[1].raw == kTwoEvents);
  }
}

// Guards against resuming a stream at another replica after a partial event.
TEST_CASE("EventSplitter.HoldsBackAnUnfinishedEvent") {
  auto splitter = EventSplitter();
  CHECK(Split(splitter, "id: 1\ndata: a\n").empty());
  CHECK(splitter.rest() == "id: 1\ndata: a\n");
}

TEST_CASE("EventSplitter.AcceptsCarriageReturns") {
  auto splitter = EventSplitter();
  const auto seen = Split(splitter, "id: 7\r\ndata: x\r\n\r\n");
  REQUIRE(seen.size() == 1);
  CHECK(seen.front().id == 7);
  CHECK(seen.front().data == "x");
}

TEST_CASE("EventSplitter.ReportsAnEventThatIsTooLarge") {
  auto splitter = EventSplitter();
  const auto large = std::string(EventSplitter::kMaxEventBytes + 1, 'x');
  CHECK_FALSE(splitter.Feed(large, [](const Event&) {}));
}

}  // namespace
}  // namespace kumquatgauge::serving
