#include "node/frame_codec.h"

#include <array>
#include <cstdint>

#include "kumquatgauge/base/error.h"
#include "kumquatgauge/node/message.h"

namespace kumquatgauge::node::detail {
namespace {

constexpr int kBitsPerByte = 8;

auto FrameLength(std::string_view bytes) -> std::size_t {
  std::size_t length = 0;
  for (std::size_t i = 0; i < kFrameHeaderBytes; ++i) {
    length = (length << kBitsPerByte) | static_cast<std::uint8_t>(bytes[i]);
  }
  return length;
}

}  // namespace

auto AppendFrame(std::string_view payload, std::string& bytes) -> void {
  for (auto i = static_cast<int>(kFrameHeaderBytes) - 1; i >= 0; --i) {
    bytes.push_back(static_cast<char>(
        static_cast<std::uint8_t>(payload.size() >> (i * kBitsPerByte))));
  }
  bytes.append(payload);
}

auto FrameReader::ExtractFrames(std::string_view bytes, const Sink& sink)
    -> std::string_view {
  while (bytes.size() >= kFrameHeaderBytes) {
    const auto length = FrameLength(bytes);
    if (length > kMaxFrameBytes) {
      throw Error(ErrorKind::kInvalidArgument, "frame too long",
                  std::to_string(length) + " bytes",
                  "send frames of at most " + std::to_string(kMaxFrameBytes) +
                      " bytes");
    }
    if (bytes.size() - kFrameHeaderBytes < length) {
      break;
    }
    sink(bytes.substr(kFrameHeaderBytes, length));
    bytes.remove_prefix(kFrameHeaderBytes + length);
  }
  return bytes;
}

auto FrameReader::Add(std::string_view bytes, const Sink& sink) -> void {
  if (partial_frame_.empty()) {
    partial_frame_ = ExtractFrames(bytes, sink);
    return;
  }
  partial_frame_.append(bytes);
  const auto left = ExtractFrames(partial_frame_, sink).size();
  partial_frame_.erase(0, partial_frame_.size() - left);
}

}  // namespace kumquatgauge::node::detail
