#ifndef CALLER_STREAM_WRITER_H_
#define CALLER_STREAM_WRITER_H_

#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>

#include "kumquatgauge/caller/caller_server.h"
#include "upstream/deadline_socket.h"

namespace kumquatgauge::caller::detail {

// Writes a response body while it is being produced. Bytes that are appended
// during one iteration of the event loop or while a write is in progress are
// sent as one chunk, so that a fast stream needs fewer writes than it has
// tokens.
class StreamWriter : public std::enable_shared_from_this<StreamWriter> {
 public:
  StreamWriter(std::shared_ptr<upstream::detail::DeadlineSocket> io,
               const CallerSettings& settings,
               bool chunked);

  // Sets a hook that is called once if the caller disconnects or reads too
  // slowly.
  auto set_on_failure(std::function<auto()->void> hook) -> void {
    on_failure_ = std::move(hook);
  }
  // Sets the header, which is written before the first chunk.
  auto set_head(std::string head) -> void { head_ = std::move(head); }
  auto failed() const -> bool { return failed_; }

  // Buffer of unsent bytes. Append to it, then call ScheduleFlush.
  auto pending() -> std::string& { return pending_; }
  auto ScheduleFlush() -> void;
  // Ends the body and sends the trailers ("Name: value\r\n" each).
  auto Finish(const std::string& trailers) -> void;
  // Waits until all bytes have been written. Returns false when the caller has
  // disconnected.
  auto WaitUntilDrained() -> boost::asio::awaitable<bool>;

 private:
  auto Flush() -> void;
  auto Fail() -> void;

  std::shared_ptr<upstream::detail::DeadlineSocket> io_;
  std::size_t max_unsent_bytes_;
  std::chrono::milliseconds write_timeout_;
  bool chunked_;
  std::string head_;
  std::string pending_;
  std::string tail_;
  std::string writing_head_;
  std::string writing_;
  std::string writing_tail_;
  bool flush_posted_ = false;
  bool write_in_progress_ = false;
  bool failed_ = false;
  boost::asio::steady_timer drained_;
  std::function<auto()->void> on_failure_;
};

}  // namespace kumquatgauge::caller::detail

#endif  // CALLER_STREAM_WRITER_H_
