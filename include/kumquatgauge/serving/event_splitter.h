#ifndef KUMQUATGAUGE_SERVING_EVENT_SPLITTER_H_
#define KUMQUATGAUGE_SERVING_EVENT_SPLITTER_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace kumquatgauge::serving {

// One server-sent event. The view is valid only during the callback.
struct Event {
  std::string_view raw;  // All bytes, including the blank line.
  std::uint64_t id = 0;  // 0 if the event has none.
  std::string data;      // Data lines, joined by line feeds.
};

// Splits the body of an event stream into complete events, regardless of how
// the bytes are chunked. Buffers an incomplete event, so that a stream that
// breaks in the middle of an event can resume at another replica after the last
// complete event.
class EventSplitter {
 public:
  // Maximum event size; a larger event is an error of the replica.
  static constexpr std::size_t kMaxEventBytes = 1U << 20U;

  using Sink = std::function<auto(const Event&)->void>;

  // Calls `sink` for each event that `bytes` completes. Returns false if an
  // event is too large.
  auto Feed(std::string_view bytes, const Sink& sink) -> bool;
  // Returns the bytes of the incomplete event.
  auto rest() const -> std::string_view { return pending_; }

 private:
  std::string pending_;
  std::size_t scanned_ = 0;  // Bytes searched for an event end.
};

}  // namespace kumquatgauge::serving

#endif  // KUMQUATGAUGE_SERVING_EVENT_SPLITTER_H_
