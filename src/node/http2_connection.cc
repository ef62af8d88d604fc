#include "node/http2_connection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <cstring>
#include <new>
#include <utility>

namespace kumquatgauge::node::detail {
namespace {

using boost::asio::ip::tcp;

auto MakeHeaders(const HeaderList& headers) -> std::vector<nghttp2_nv> {
  std::vector<nghttp2_nv> result;
  result.reserve(headers.size());
  for (const auto& [name, value] : headers) {
    // nghttp2 copies names and values and does not modify them.
    result.push_back({const_cast<std::uint8_t*>(
                          reinterpret_cast<const std::uint8_t*>(name.data())),
                      const_cast<std::uint8_t*>(
                          reinterpret_cast<const std::uint8_t*>(value.data())),
                      name.size(), value.size(), NGHTTP2_NV_FLAG_NONE});
  }
  return result;
}

auto ReadSendBuffer(nghttp2_session*,
                    std::int32_t,
                    std::uint8_t* target,
                    std::size_t length,
                    std::uint32_t* flags,
                    nghttp2_data_source* source,
                    void*) -> ssize_t {
  auto& out = *static_cast<SendBuffer*>(source->ptr);
  const auto size = std::min(length, out.queued());
  std::memcpy(target, out.bytes.data() + out.offset, size);
  out.offset += size;
  if (out.queued() == 0) {
    out.bytes.clear();
    out.offset = 0;
    if (out.ended) {
      *flags |= NGHTTP2_DATA_FLAG_EOF;
    } else if (size == 0) {
      out.deferred = true;
      return NGHTTP2_ERR_DEFERRED;
    }
  }
  return static_cast<ssize_t>(size);
}

auto MakeDataProvider(SendBuffer& out) -> nghttp2_data_provider {
  nghttp2_data_provider provider;
  provider.source.ptr = &out;
  provider.read_callback = ReadSendBuffer;
  return provider;
}

}  // namespace

// Callbacks for nghttp2. Exceptions must not propagate through C code, so an
// exception from a virtual function closes the connection.
struct Http2Connection::Callbacks {
  template <typename Function>
  static auto Run(void* user, Function function) -> int {
    auto& connection = *static_cast<Http2Connection*>(user);
    if (connection.closed_) {
      return NGHTTP2_ERR_CALLBACK_FAILURE;
    }
    try {
      function(connection);
      return 0;
    } catch (const std::exception&) {
      return NGHTTP2_ERR_CALLBACK_FAILURE;
    }
  }

  static auto Header(nghttp2_session*,
                     const nghttp2_frame* frame,
                     const std::uint8_t* name,
                     std::size_t name_length,
                     const std::uint8_t* value,
                     std::size_t value_length,
                     std::uint8_t,
                     void* user) -> int {
    return Run(user, [&](Http2Connection& connection) {
      connection.OnHeader(frame->hd.stream_id,
                          {reinterpret_cast<const char*>(name), name_length},
                          {reinterpret_cast<const char*>(value), value_length});
    });
  }

  static auto Data(nghttp2_session*,
                   std::uint8_t,
                   std::int32_t stream_id,
                   const std::uint8_t* data,
                   std::size_t length,
                   void* user) -> int {
    return Run(user, [&](Http2Connection& connection) {
      connection.OnData(stream_id,
                        {reinterpret_cast<const char*>(data), length});
    });
  }

  static auto FrameReceived(nghttp2_session*,
                            const nghttp2_frame* frame,
                            void* user) -> int {
    return Run(user, [&](Http2Connection& connection) {
      connection.Dispatch(*frame);
    });
  }

  static auto FrameSent(nghttp2_session*,
                        const nghttp2_frame* frame,
                        void* user) -> int {
    if (frame->hd.type != NGHTTP2_HEADERS) {
      return 0;
    }
    return Run(user, [&](Http2Connection& connection) {
      connection.OnHeadersSent(frame->hd.stream_id);
    });
  }

  static auto StreamClosed(nghttp2_session*,
                           std::int32_t stream_id,
                           std::uint32_t code,
                           void* user) -> int {
    return Run(user, [&](Http2Connection& connection) {
      connection.OnStreamClosed(stream_id, code);
    });
  }
};

Http2Connection::Http2Connection(tcp::socket socket, Side side)
    : socket_(std::move(socket)), side_(side) {}

Http2Connection::~Http2Connection() {
  nghttp2_session_del(session_);
}

auto Http2Connection::executor() -> boost::asio::any_io_executor {
  return socket_.get_executor();
}

auto Http2Connection::StartSession(std::uint32_t max_streams) -> void {
  boost::system::error_code ignored;
  socket_.set_option(tcp::no_delay(true), ignored);
  socket_.non_blocking(true, ignored);
  const auto timeout = kTcpUserTimeoutMs;
  ::setsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout,
               sizeof(timeout));

  nghttp2_session_callbacks* callbacks = nullptr;
  if (nghttp2_session_callbacks_new(&callbacks) != 0) {
    throw std::bad_alloc();
  }
  nghttp2_session_callbacks_set_on_header_callback(callbacks,
                                                   Callbacks::Header);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks,
                                                            Callbacks::Data);
  nghttp2_session_callbacks_set_on_frame_recv_callback(
      callbacks, Callbacks::FrameReceived);
  nghttp2_session_callbacks_set_on_frame_send_callback(callbacks,
                                                       Callbacks::FrameSent);
  nghttp2_session_callbacks_set_on_stream_close_callback(
      callbacks, Callbacks::StreamClosed);
  const auto created =
      side_ == Side::kServer
          ? nghttp2_session_server_new(&session_, callbacks, this)
          : nghttp2_session_client_new(&session_, callbacks, this);
  nghttp2_session_callbacks_del(callbacks);
  if (created != 0) {
    throw std::bad_alloc();
  }
  const std::array<nghttp2_settings_entry, 3> settings = {{
      {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, max_streams},
      {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, kStreamWindowBytes},
      {NGHTTP2_SETTINGS_ENABLE_PUSH, 0},
  }};
  nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, settings.data(),
                          settings.size());
  nghttp2_session_set_local_window_size(session_, NGHTTP2_FLAG_NONE, 0,
                                        kConnectionWindowBytes);
  ScheduleWrite();
  Read();
}

auto Http2Connection::Dispatch(const nghttp2_frame& frame) -> void {
  const auto flags = frame.hd.flags;
  switch (frame.hd.type) {
    case NGHTTP2_HEADERS:
      OnHeadersEnd(frame.hd.stream_id);
      [[fallthrough]];
    case NGHTTP2_DATA:
      if ((flags & NGHTTP2_FLAG_END_STREAM) != 0) {
        OnStreamEnd(frame.hd.stream_id);
      }
      break;
    case NGHTTP2_SETTINGS:
      if ((flags & NGHTTP2_FLAG_ACK) == 0) {
        OnSettings();
      }
      break;
    case NGHTTP2_PING:
      if ((flags & NGHTTP2_FLAG_ACK) != 0) {
        OnPingAck();
      }
      break;
    case NGHTTP2_GOAWAY:
      OnGoaway();
      break;
    default:
      break;
  }
}

auto Http2Connection::SubmitRequest(const HeaderList& headers, SendBuffer& body)
    -> std::int32_t {
  const auto list = MakeHeaders(headers);
  const auto provider = MakeDataProvider(body);
  const auto id = nghttp2_submit_request(session_, nullptr, list.data(),
                                         list.size(), &provider, nullptr);
  ScheduleWrite();
  return id;
}

auto Http2Connection::SubmitResponse(std::int32_t stream_id,
                                     const HeaderList& headers,
                                     SendBuffer* body) -> int {
  const auto list = MakeHeaders(headers);
  auto result = 0;
  if (body != nullptr) {
    const auto provider = MakeDataProvider(*body);
    result = nghttp2_submit_response(session_, stream_id, list.data(),
                                     list.size(), &provider);
  } else {
    result = nghttp2_submit_response(session_, stream_id, list.data(),
                                     list.size(), nullptr);
  }
  ScheduleWrite();
  return result;
}

auto Http2Connection::SubmitReset(std::int32_t stream_id, std::uint32_t code)
    -> void {
  if (!closed_) {
    nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, stream_id, code);
    ScheduleWrite();
  }
}

auto Http2Connection::ResumeStream(std::int32_t stream_id, SendBuffer& out)
    -> void {
  if (closed_ || !out.deferred) {
    return;
  }
  out.deferred = false;
  nghttp2_session_resume_data(session_, stream_id);
  ScheduleWrite();
}

auto Http2Connection::Read() -> void {
  socket_.async_wait(
      tcp::socket::wait_read,
      [self = shared_from_this()](const boost::system::error_code& error) {
        if (self->closed_) {
          return;
        }
        if (error) {
          self->Close("the connection was lost: " + error.message());
          return;
        }
        if (self->ReadAvailable()) {
          self->ScheduleWrite();
          self->Read();
        }
      });
}

auto Http2Connection::ReadAvailable() -> bool {
  // One buffer per thread saves memory, since a node has connections to
  // hundreds of others. The bytes are consumed before the next read.
  thread_local std::array<std::uint8_t, kReadBufferBytes> buffer;
  for (auto reads = 0; reads < kMaxReadsPerWait; ++reads) {
    boost::system::error_code error;
    const auto size = socket_.read_some(boost::asio::buffer(buffer), error);
    if (error == boost::asio::error::would_block) {
      return true;
    }
    if (error) {
      Close("the connection was lost: " + error.message());
      return false;
    }
    bytes_received_ += size;
    const auto used = nghttp2_session_mem_recv(session_, buffer.data(), size);
    if (closed_) {
      return false;
    }
    if (used < 0) {
      Close("HTTP/2 protocol error");
      return false;
    }
    if (size < buffer.size()) {
      return true;
    }
  }
  return true;
}

auto Http2Connection::ScheduleWrite() -> void {
  if (flush_posted_ || writing_ || closed_) {
    return;
  }
  flush_posted_ = true;
  // Runs after the handlers that are ready now, so that the frames they submit
  // are sent with the same system call.
  boost::asio::post(socket_.get_executor(), [self = shared_from_this()] {
    self->flush_posted_ = false;
    self->Flush();
  });
}

auto Http2Connection::Flush() -> void {
  if (closed_ || writing_) {
    return;
  }
  write_buffer_.clear();
  while (write_buffer_.size() < kWriteBatchBytes) {
    const std::uint8_t* bytes = nullptr;
    const auto size = nghttp2_session_mem_send(session_, &bytes);
    if (closed_) {
      return;
    }
    if (size < 0) {
      Close("cannot serialize HTTP/2 frames");
      return;
    }
    if (size == 0) {
      break;
    }
    write_buffer_.append(reinterpret_cast<const char*>(bytes),
                         static_cast<std::size_t>(size));
  }
  if (write_buffer_.empty()) {
    if (write_buffer_.capacity() > kMaxIdleWriteBufferBytes) {
      write_buffer_.shrink_to_fit();
    }
    CloseIfDone();
    return;
  }
  writing_ = true;
  boost::asio::async_write(
      socket_, boost::asio::buffer(write_buffer_),
      [self = shared_from_this()](const boost::system::error_code& error,
                                  std::size_t) {
        self->writing_ = false;
        if (error) {
          self->Close("the connection was lost: " + error.message());
          return;
        }
        self->Flush();
      });
}

auto Http2Connection::CloseIfDone() -> void {
  if (nghttp2_session_want_read(session_) == 0 &&
      nghttp2_session_want_write(session_) == 0) {
    Close("all streams ended after GOAWAY");
  }
}

auto Http2Connection::Close(std::string_view reason) -> void {
  if (closed_) {
    return;
  }
  closed_ = true;
  boost::system::error_code ignored;
  socket_.close(ignored);
  OnClosed(reason);
}

}  // namespace kumquatgauge::node::detail
