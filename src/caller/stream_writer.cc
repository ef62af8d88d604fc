#include "caller/stream_writer.h"

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <cstdio>
#include <utility>

namespace kumquatgauge::caller::detail {
namespace {

namespace asio = boost::asio;
using OnExpiry = upstream::detail::DeadlineSocket::OnExpiry;

auto ChunkHead(std::size_t size) -> std::string {
  std::array<char, 24> text{};
  const auto length = std::snprintf(text.data(), text.size(), "%zx\r\n", size);
  return {text.data(), static_cast<std::size_t>(length)};
}

}  // namespace

StreamWriter::StreamWriter(std::shared_ptr<upstream::detail::DeadlineSocket> io,
                           const CallerSettings& settings,
                           bool chunked)
    : io_(std::move(io)),
      max_unsent_bytes_(settings.max_unsent_bytes),
      write_timeout_(settings.write_timeout),
      chunked_(chunked),
      drained_(io_->socket().get_executor()) {}

auto StreamWriter::ScheduleFlush() -> void {
  if (failed_) {
    pending_.clear();
    return;
  }
  if (pending_.size() > max_unsent_bytes_) {
    Fail();
    return;
  }
  if (!write_in_progress_ && !flush_posted_) {
    flush_posted_ = true;
    asio::post(io_->socket().get_executor(), [self = shared_from_this()] {
      self->flush_posted_ = false;
      self->Flush();
    });
  }
}

auto StreamWriter::Finish(const std::string& trailers) -> void {
  if (chunked_) {
    tail_ = "0\r\n" + trailers + "\r\n";
  }
  ScheduleFlush();
}

auto StreamWriter::WaitUntilDrained() -> asio::awaitable<bool> {
  while ((write_in_progress_ || flush_posted_) && !failed_) {
    drained_.expires_at(std::chrono::steady_clock::time_point::max());
    boost::system::error_code ignored;
    co_await drained_.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
  }
  co_return !failed_;
}

auto StreamWriter::Flush() -> void {
  if (failed_ || write_in_progress_) {
    return;
  }
  if (head_.empty() && pending_.empty() && tail_.empty()) {
    drained_.cancel();
    return;
  }
  write_in_progress_ = true;
  writing_head_ = std::exchange(head_, {});
  writing_.clear();
  std::swap(writing_, pending_);
  writing_tail_.clear();
  if (chunked_ && !writing_.empty()) {
    writing_head_ += ChunkHead(writing_.size());
    writing_tail_ = "\r\n";
  }
  writing_tail_ += std::exchange(tail_, {});
  const std::array<asio::const_buffer, 3> buffers = {
      asio::buffer(writing_head_), asio::buffer(writing_),
      asio::buffer(writing_tail_)};
  io_->ExpireAfter(write_timeout_, OnExpiry::kClose);
  asio::async_write(io_->socket(), buffers,
                    [self = shared_from_this()](
                        const boost::system::error_code& error, std::size_t) {
                      self->io_->Disarm();
                      self->write_in_progress_ = false;
                      if (error) {
                        self->Fail();
                        return;
                      }
                      self->Flush();
                    });
}

auto StreamWriter::Fail() -> void {
  if (failed_) {
    return;
  }
  failed_ = true;
  pending_.clear();
  io_->Close();
  drained_.cancel();
  if (on_failure_) {
    std::exchange(on_failure_, nullptr)();
  }
}

}  // namespace kumquatgauge::caller::detail
