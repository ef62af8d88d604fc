#ifndef NODE_HTTP2_CONNECTION_H_
#define NODE_HTTP2_CONNECTION_H_

#include <nghttp2/nghttp2.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace kumquatgauge::node::detail {

// Flow-control windows. The stream window is larger than the largest burst of
// tokens. The connection window is larger still, so that one slow stream does
// not block the others.
inline constexpr std::int32_t kStreamWindowBytes = 1 << 20;
inline constexpr std::int32_t kConnectionWindowBytes = 64 << 20;
// Bytes that are collected before each write to the socket.
inline constexpr std::size_t kWriteBatchBytes = std::size_t{256} << 10;
inline constexpr std::size_t kReadBufferBytes = std::size_t{64} << 10;
// Reads in a row before other connections of the thread are served.
inline constexpr int kMaxReadsPerWait = 4;
// Capacity of the write buffer that an idle connection may keep.
inline constexpr std::size_t kMaxIdleWriteBufferBytes = std::size_t{16} << 10;
// The kernel closes a connection whose data is unacknowledged for this time.
inline constexpr int kTcpUserTimeoutMs = 3000;

// Unsent bytes of one stream; owned by the stream.
struct SendBuffer {
  std::string bytes;
  std::size_t offset = 0;
  bool ended = false;     // No more bytes will be added.
  bool deferred = false;  // nghttp2 needs nghttp2_session_resume_data.

  auto queued() const -> std::size_t { return bytes.size() - offset; }
};

using HeaderList = std::vector<std::pair<std::string_view, std::string_view>>;

// An HTTP/2 connection that transfers bytes between a socket and an nghttp2
// session and reports events to the derived class. Frames that are submitted by
// all ready handlers are sent with one write. Used on the executor of its
// socket only.
class Http2Connection : public std::enable_shared_from_this<Http2Connection> {
 public:
  Http2Connection(const Http2Connection&) = delete;
  auto operator=(const Http2Connection&) -> Http2Connection& = delete;

  // Closes the socket and calls OnClosed once.
  auto Close(std::string_view reason) -> void;
  auto closed() const -> bool { return closed_; }
  auto executor() -> boost::asio::any_io_executor;

  // Sends the pending frames of the session after the handlers that are ready
  // now.
  auto ScheduleWrite() -> void;
  // Continues to send a stream after bytes were added to `out`.
  auto ResumeStream(std::int32_t stream_id, SendBuffer& out) -> void;

 protected:
  enum class Side { kServer, kClient };

  Http2Connection(boost::asio::ip::tcp::socket socket, Side side);
  virtual ~Http2Connection();

  // Sets socket options, submits SETTINGS and starts to read.
  auto StartSession(std::uint32_t max_streams) -> void;

  auto socket() -> boost::asio::ip::tcp::socket& { return socket_; }
  auto session() -> nghttp2_session* { return session_; }
  auto bytes_received() const -> std::uint64_t { return bytes_received_; }

  // Returns the stream id or a negative nghttp2 error.
  auto SubmitRequest(const HeaderList& headers, SendBuffer& body)
      -> std::int32_t;
  // Returns 0 or a negative nghttp2 error. `body` may be null.
  auto SubmitResponse(std::int32_t stream_id,
                      const HeaderList& headers,
                      SendBuffer* body) -> int;
  auto SubmitReset(std::int32_t stream_id, std::uint32_t code) -> void;

  virtual auto OnHeader(std::int32_t stream_id,
                        std::string_view name,
                        std::string_view value) -> void = 0;
  virtual auto OnHeadersEnd(std::int32_t stream_id) -> void = 0;
  virtual auto OnData(std::int32_t stream_id, std::string_view bytes)
      -> void = 0;
  virtual auto OnStreamEnd(std::int32_t stream_id) -> void = 0;
  virtual auto OnStreamClosed(std::int32_t stream_id, std::uint32_t code)
      -> void = 0;
  virtual auto OnClosed(std::string_view reason) -> void = 0;
  virtual auto OnHeadersSent(std::int32_t) -> void {}
  virtual auto OnSettings() -> void {}
  virtual auto OnPingAck() -> void {}
  virtual auto OnGoaway() -> void {}

 private:
  struct Callbacks;

  auto Read() -> void;
  // Returns false if the connection was closed.
  auto ReadAvailable() -> bool;
  auto Flush() -> void;
  auto Dispatch(const nghttp2_frame& frame) -> void;
  auto CloseIfDone() -> void;

  boost::asio::ip::tcp::socket socket_;
  Side side_;
  nghttp2_session* session_ = nullptr;
  std::string write_buffer_;
  std::uint64_t bytes_received_ = 0;
  bool flush_posted_ = false;
  bool writing_ = false;
  bool closed_ = false;
};

}  // namespace kumquatgauge::node::detail

#endif  // NODE_HTTP2_CONNECTION_H_
