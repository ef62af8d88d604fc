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

// Writes a response body while it is being produced. What arrives during one
// turn of the event loop or while a write is under way goes out as one chunk,
// so that the cost of a write is shared by the tokens of a fast stream.
class StreamWriter : public std::enable_shared_from_this<StreamWriter> {
 public:
  StreamWriter(std::shared_ptr<upstream::detail::DeadlineSocket> io,
               const CallerSettings& settings,
               bool chunked);

  // Called once when the caller is gone or too slow.
  auto set_on_failure(std::function<auto()->void> hook) -> void {
    on_failure_ = std::move(hook);
  }
  // Bytes before the first chunk.
  auto set_head(std::string head) -> void { head_ = std::move(head); }
  auto failed() const -> bool { return failed_; }

  // Bytes to append to; call Schedule afterwards.
  auto pending() -> std::string& { return pending_; }
  auto Schedule() -> void;
  // Appends the last bytes, the end of the body and the trailers
  // ("Name: value\r\n" each).
  auto Finish(const std::string& trailers) -> void;
  // Waits until everything has been written; false when the caller is gone.
  auto Drained() -> boost::asio::awaitable<bool>;

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
  bool busy_ = false;
  bool failed_ = false;
  boost::asio::steady_timer drained_;
  std::function<auto()->void> on_failure_;
};

}  // namespace kumquatgauge::caller::detail

#endif  // CALLER_STREAM_WRITER_H_
