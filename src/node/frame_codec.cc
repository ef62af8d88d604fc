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

auto FrameReader::Cut(std::string_view bytes, const Sink& sink)
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
  if (rest_.empty()) {
    rest_ = Cut(bytes, sink);
    return;
  }
  rest_.append(bytes);
  const auto left = Cut(rest_, sink).size();
  rest_.erase(0, rest_.size() - left);
}

}  // namespace kumquatgauge::node::detail
