#ifndef UPSTREAM_ENGINE_EVENT_H_
#define UPSTREAM_ENGINE_EVENT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace kumquatgauge::upstream::detail {

// Contents of one event of a completion stream.
struct EngineEvent {
  std::string text;
  std::optional<std::uint64_t> offset;  // "kqg_offset"
  std::string finish_reason;
  bool error = false;
  std::string error_message;
  std::string error_code;

  auto operator==(const EngineEvent&) const -> bool = default;
};

// Parses the data of one event into `event`; returns false if it is malformed.
auto ParseEngineEvent(std::string_view data, EngineEvent& event) -> bool;

}  // namespace kumquatgauge::upstream::detail

#endif  // UPSTREAM_ENGINE_EVENT_H_
