#ifndef KUMQUATGAUGE_CALLER_CALLER_SERVER_H_
#define KUMQUATGAUGE_CALLER_CALLER_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "kumquatgauge/caller/caller_backend.h"

namespace kumquatgauge::caller {

struct CallerSettings {
  static constexpr std::size_t kMaxBodyBytes = 4U << 20U;
  static constexpr std::size_t kMaxBatchBytes = 400U << 20U;
  static constexpr std::size_t kMaxBatchItems = 110'000;
  static constexpr std::size_t kMaxHeaders = 100;
  static constexpr std::size_t kMaxHeaderBytes = 32U << 10U;
  static constexpr std::size_t kMaxUnsentBytes = 4U << 20U;

  std::size_t max_body_bytes = kMaxBodyBytes;  // All but batch uploads.
  std::size_t max_batch_bytes = kMaxBatchBytes;
  std::size_t max_batch_items = kMaxBatchItems;
  std::size_t max_headers = kMaxHeaders;
  std::size_t max_header_bytes = kMaxHeaderBytes;
  // Bytes of a stream that a slow reader may leave unread in this process
  // before it is treated as gone.
  std::size_t max_unsent_bytes = kMaxUnsentBytes;
  // For the header, for the body of an online request, and for each 64 KB of a
  // batch upload.
  std::chrono::milliseconds sender_timeout{10'000};
  // Between two requests of a connection.
  std::chrono::milliseconds idle_timeout{60'000};
  // For the caller to take some bytes of a response.
  std::chrono::milliseconds write_timeout{30'000};
  // After Stop, for requests that are already on their way on an idle
  // connection.
  std::chrono::milliseconds stop_grace{1'000};
  // Used when a request has no KQG-Deadline-Ms.
  std::chrono::milliseconds default_deadline{60'000};
  std::chrono::milliseconds max_deadline{3'600'000};
  // Due time of a batch that names none.
  std::chrono::seconds default_batch_due{86'400};
  // Organisation of requests without KQG-Organisation.
  std::string default_organisation = "default";

  auto operator==(const CallerSettings&) const -> bool = default;
};

namespace detail {
struct ServerCore;
}  // namespace detail

// HTTP/1.1 server for callers. Connections are handed round robin to the
// io_contexts; each must be run by one thread. The io_contexts and the backend
// must outlive the connections.
class CallerServer {
 public:
  // Listens on `address` ("IP:port"; port 0 picks one). Throws
  // Error(kUnavailable) when it cannot.
  CallerServer(std::vector<boost::asio::io_context*> contexts,
               const std::string& address,
               CallerBackend& backend,
               CallerSettings settings = {});
  CallerServer(const CallerServer&) = delete;
  auto operator=(const CallerServer&) -> CallerServer& = delete;
  // Stops at once: connections that are still open are closed.
  ~CallerServer();

  // "IP:port" that it listens on.
  auto address() const -> const std::string&;
  // Connections that are open now.
  auto connections() const -> std::size_t;

  // Stops gracefully: accepts no more connections, finishes what runs, and
  // answers what still arrives with "Connection: close". connections() falls
  // to 0 when all is done. Thread-safe, may be called more than once.
  auto Stop() -> void;

 private:
  std::shared_ptr<detail::ServerCore> core_;
};

}  // namespace kumquatgauge::caller

#endif  // KUMQUATGAUGE_CALLER_CALLER_SERVER_H_
