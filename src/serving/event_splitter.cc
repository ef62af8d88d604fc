#include "kumquatgauge/serving/event_splitter.h"

#include <algorithm>
#include <charconv>

namespace kumquatgauge::serving {
namespace {

// Returns the value of a line "name: value" and sets `found`; returns an empty
// view for other fields.
auto FieldValue(std::string_view line, std::string_view name, bool& found)
    -> std::string_view {
  found = line.starts_with(name) && line.size() > name.size() &&
          line[name.size()] == ':';
  if (!found) {
    return {};
  }
  line.remove_prefix(name.size() + 1);
  if (!line.empty() && line.front() == ' ') {
    line.remove_prefix(1);
  }
  return line;
}

auto Parse(std::string_view raw) -> Event {
  auto event = Event();
  event.raw = raw;
  auto has_data = false;
  while (!raw.empty()) {
    const auto end = std::min(raw.find('\n'), raw.size());
    auto line = raw.substr(0, end);
    raw.remove_prefix(std::min(end + 1, raw.size()));
    if (!line.empty() && line.back() == '\r') {
      line.remove_suffix(1);
    }
    auto found = false;
    const auto id = FieldValue(line, "id", found);
    if (found) {
      std::from_chars(id.data(), id.data() + id.size(), event.id);
      continue;
    }
    const auto data = FieldValue(line, "data", found);
    if (found) {
      event.data.append(has_data ? "\n" : "").append(data);
      has_data = true;
    }
  }
  return event;
}

// Returns the position after the blank line that ends an event, or npos.
auto FindEnd(std::string_view text, std::size_t from) -> std::size_t {
  while (true) {
    const auto line_end = text.find('\n', from);
    if (line_end == std::string_view::npos) {
      return line_end;
    }
    const auto next = text.substr(line_end + 1, 2);
    if (next.starts_with('\n')) {
      return line_end + 2;
    }
    if (next == "\r\n") {
      return line_end + 3;
    }
    from = line_end + 1;
  }
}

}  // namespace

auto EventSplitter::Feed(std::string_view bytes, const Sink& sink) -> bool {
  // The end of an event may straddle the bytes scanned before.
  constexpr std::size_t kLongestEnd = 3;
  pending_.append(bytes);
  std::size_t start = 0;
  auto from = scanned_ > kLongestEnd ? scanned_ - kLongestEnd : 0;
  while (true) {
    const auto end = FindEnd(pending_, from);
    if (end == std::string::npos) {
      break;
    }
    sink(Parse(std::string_view(pending_).substr(start, end - start)));
    start = end;
    from = end;
  }
  pending_.erase(0, start);
  scanned_ = pending_.size();
  return pending_.size() <= kMaxEventBytes;
}

}  // namespace kumquatgauge::serving
