#ifndef NODE_FRAME_CODEC_H_
#define NODE_FRAME_CODEC_H_

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace kumquatgauge::node::detail {

inline constexpr std::size_t kFrameHeaderBytes = 4;

// Appends the 4-byte big-endian length and `payload` to `bytes`.
auto AppendFrame(std::string_view payload, std::string& bytes) -> void;

// Splits a byte stream into frames.
class FrameReader {
 public:
  using Sink = std::function<auto(std::string_view)->void>;

  // Passes each complete frame to `sink` and keeps an incomplete one. Throws
  // Error(kInvalidArgument) for a frame longer than kMaxFrameBytes.
  auto Add(std::string_view bytes, const Sink& sink) -> void;

 private:
  // Passes the complete frames in `bytes` to `sink`; returns the remaining
  // bytes.
  static auto ExtractFrames(std::string_view bytes, const Sink& sink)
      -> std::string_view;

  std::string partial_frame_;
};

}  // namespace kumquatgauge::node::detail

#endif  // NODE_FRAME_CODEC_H_
