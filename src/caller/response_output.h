#ifndef CALLER_RESPONSE_OUTPUT_H_
#define CALLER_RESPONSE_OUTPUT_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "kumquatgauge/caller/held_response.h"
#include "upstream/deadline_socket.h"

namespace kumquatgauge::caller::detail {

// Writes the responses of one connection. Bytes that the socket does not take
// at once wait in a queue, which its hooks limit.
class ResponseOutput : public HeldResponse,
                       public std::enable_shared_from_this<ResponseOutput> {
 public:
  ResponseOutput(std::shared_ptr<upstream::detail::DeadlineSocket> io,
                 HeldResponseHooks hooks);

  // Begins the response to a request. `write_timeout` applies without hooks.
  // `on_failure` is called if it cannot be written.
  auto Begin(std::string target,
             std::chrono::milliseconds write_timeout,
             std::function<auto()->void> on_failure) -> void;
  // Writes bytes or adds them to the queue. Returns false once the connection
  // has failed.
  auto Write(std::string bytes) -> bool;
  // Both return false once the connection has failed.
  // Waits until at most `max_bytes` are queued; the source of the response is
  // not read meanwhile.
  auto AwaitRoom(std::size_t max_bytes) -> boost::asio::awaitable<bool>;
  // Waits until the queue is empty.
  auto AwaitWritten() -> boost::asio::awaitable<bool>;
  auto Close() -> void;

  auto held_bytes() const -> std::size_t override;
  auto acknowledged_bytes() const -> std::uint64_t override;
  auto held_up() const -> bool override { return queued_bytes_ > 0; }
  auto source_waits() const -> bool override { return source_waits_; }
  auto target() const -> const std::string& override { return target_; }
  auto Reset() -> void override;

 private:
  auto AwaitQueuedBytes(std::size_t max_bytes) -> boost::asio::awaitable<void>;
  // Writes the queue until it is empty.
  static auto Drain(std::shared_ptr<ResponseOutput> self)
      -> boost::asio::awaitable<void>;
  // Writes what the socket takes at once.
  auto WriteAtOnce() -> void;
  auto OnWritten(std::size_t bytes) -> void;
  auto Fail() -> void;
  auto Report() -> void;

  std::shared_ptr<upstream::detail::DeadlineSocket> io_;
  HeldResponseHooks hooks_;
  std::string target_;
  std::chrono::milliseconds write_timeout_{};
  std::function<auto()->void> on_failure_;
  std::deque<std::string> queue_;
  std::size_t front_written_ = 0;  // Of the first element of the queue.
  std::size_t queued_bytes_ = 0;
  std::uint64_t written_bytes_ = 0;     // To the socket.
  std::uint64_t reported_at_ = 0;       // Value of written_bytes_.
  boost::asio::steady_timer dequeued_;  // Cancelled when bytes were written.
  bool draining_ = false;
  bool source_waits_ = false;
  bool held_ = false;  // The hooks know of it.
  bool failed_ = false;
};

}  // namespace kumquatgauge::caller::detail

#endif  // CALLER_RESPONSE_OUTPUT_H_
