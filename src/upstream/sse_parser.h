#ifndef UPSTREAM_SSE_PARSER_H_
#define UPSTREAM_SSE_PARSER_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace kumquatgauge::upstream::detail {

// Incremental parser of server-sent events. Only the data of an event is kept;
// the lines "event", "id", "retry" and comments are skipped.
class SseParser {
 public:
  static constexpr std::size_t kMaxEventBytes = 1U << 20U;
  static constexpr std::string_view kData = "data:";

  // Passes the data of every event that `bytes` completes to
  // `on_event(std::string_view) -> bool`, until it returns false. Returns false
  // when an event exceeds kMaxEventBytes.
  template <typename OnEvent>
  auto Feed(std::string_view bytes, OnEvent&& on_event) -> bool {
    pending_.append(bytes);
    std::size_t start = 0;
    while (true) {
      const auto end = pending_.find('\n', scanned_);
      if (end == std::string::npos) {
        scanned_ = pending_.size();
        break;
      }
      const auto line = std::string_view(pending_).substr(start, end - start);
      start = end + 1;
      scanned_ = start;
      if (!ProcessLine(line)) {
        continue;
      }
      const auto more = on_event(std::string_view(data_));
      data_.clear();
      has_data_ = false;
      if (!more) {
        break;
      }
    }
    pending_.erase(0, start);
    scanned_ -= start;
    return pending_.size() + data_.size() <= kMaxEventBytes;
  }

 private:
  // Returns true when the line ends an event that has data.
  auto ProcessLine(std::string_view line) -> bool {
    if (!line.empty() && line.back() == '\r') {
      line.remove_suffix(1);
    }
    if (line.empty()) {
      return has_data_;
    }
    if (line.substr(0, kData.size()) != kData) {
      return false;
    }
    line.remove_prefix(kData.size());
    if (!line.empty() && line.front() == ' ') {
      line.remove_prefix(1);
    }
    if (has_data_) {
      data_ += '\n';
    }
    has_data_ = true;
    data_.append(line);
    return false;
  }

  std::string pending_;
  std::size_t scanned_ = 0;  // Bytes of pending_ known to hold no line end.
  std::string data_;
  bool has_data_ = false;
};

}  // namespace kumquatgauge::upstream::detail

#endif  // UPSTREAM_SSE_PARSER_H_
