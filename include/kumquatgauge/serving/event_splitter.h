#ifndef KUMQUATGAUGE_SERVING_EVENT_SPLITTER_H_
#define KUMQUATGAUGE_SERVING_EVENT_SPLITTER_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace kumquatgauge::serving {

// One server-sent event. The views are valid during the call only.
struct Event {
  std::string_view raw;  // All its bytes, the blank line included.
  std::uint64_t id = 0;  // 0 when it has none.
  std::string data;      // Lines of data, joined by line feeds.
};

// Splits the body of an event stream into whole events, however its bytes
// arrive. Keeps the rest of an unfinished event, so that a stream that breaks
// off in the middle of one can go on elsewhere after the last whole event.
class EventSplitter {
 public:
  // Longest event that is kept; a larger one is an error of the replica.
  static constexpr std::size_t kMaxEventBytes = 1U << 20U;

  using Sink = std::function<auto(const Event&)->void>;

  // Passes each event that `bytes` completes. Returns false when an event is
  // too large.
  auto Feed(std::string_view bytes, const Sink& sink) -> bool;
  // Bytes of an unfinished event.
  auto rest() const -> std::string_view { return pending_; }

 private:
  std::string pending_;
  std::size_t scanned_ = 0;  // Bytes of pending_ without an event's end.
};

}  // namespace kumquatgauge::serving

#endif  // KUMQUATGAUGE_SERVING_EVENT_SPLITTER_H_
