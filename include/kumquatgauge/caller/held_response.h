#ifndef KUMQUATGAUGE_CALLER_HELD_RESPONSE_H_
#define KUMQUATGAUGE_CALLER_HELD_RESPONSE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace kumquatgauge::caller {

// What a connection holds of a response until its caller reads it.
class HeldResponse {
 public:
  virtual ~HeldResponse() = default;

  // Bytes that wait in the process, in the send buffer of the socket and, while
  // the response is held up, in the receive buffer of its source.
  virtual auto held_bytes() const -> std::size_t = 0;
  // Bytes that the caller's host has acknowledged; grows while it reads.
  virtual auto acknowledged_bytes() const -> std::uint64_t = 0;
  // Whether bytes wait for room in the send buffer of the socket.
  virtual auto held_up() const -> bool = 0;
  // Whether its source is not read until the caller reads.
  virtual auto source_waits() const -> bool = 0;
  // Target of the request, for logs.
  virtual auto target() const -> const std::string& = 0;
  // Resets the connection, which frees its buffers at once.
  virtual auto Reset() -> void = 0;
};

// Connects the responses of a listener to a limit of their memory.
struct HeldResponseHooks {
  // Called when a response is held, and again when more of it is held.
  std::function<auto(const std::shared_ptr<HeldResponse>& response)->void> held;
  // Called when the connection of a held response ends.
  std::function<auto(const HeldResponse& response)->void> closed;
  // Returns how many bytes of a stream may wait in the process before its
  // writer has to wait.
  std::function<auto()->std::size_t> max_queued_bytes;
};

}  // namespace kumquatgauge::caller

#endif  // KUMQUATGAUGE_CALLER_HELD_RESPONSE_H_
