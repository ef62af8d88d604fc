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

  std::size_t max_body_bytes = kMaxBodyBytes;  // Except batch uploads.
  std::size_t max_batch_bytes = kMaxBatchBytes;
  std::size_t max_batch_items = kMaxBatchItems;
  std::size_t max_headers = kMaxHeaders;
  std::size_t max_header_bytes = kMaxHeaderBytes;
  // Bytes of a stream that may be queued for a slow caller before its
  // connection is closed.
  std::size_t max_unsent_bytes = kMaxUnsentBytes;
  // Time to receive the header, the body of an online request, or each 64 KB of
  // a batch upload.
  std::chrono::milliseconds read_timeout{10'000};
  // Time between two requests of a connection.
  std::chrono::milliseconds idle_timeout{60'000};
  // Time for one write of a response to complete.
  std::chrono::milliseconds write_timeout{30'000};
  // Time after Stop during which idle connections stay open for requests that
  // are already in transit.
  std::chrono::milliseconds stop_grace{1'000};
  // Deadline of requests without KQG-Deadline-Ms.
  std::chrono::milliseconds default_deadline{60'000};
  std::chrono::milliseconds max_deadline{3'600'000};
  // Time until a batch is due when the request gives no due time.
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
  // Listens on `address` ("IP:port"; port 0 picks a free one). Throws
  // Error(kUnavailable) when the address cannot be bound.
  CallerServer(std::vector<boost::asio::io_context*> contexts,
               const std::string& address,
               CallerBackend& backend,
               CallerSettings settings = {});
  CallerServer(const CallerServer&) = delete;
  auto operator=(const CallerServer&) -> CallerServer& = delete;
  // Stops immediately: closes the connections that are still open.
  ~CallerServer();

  // Whether callers can connect; false while another process uses the address.
  auto listening() const -> bool;
  // Address that the server listens on, as "IP:port"; empty before that.
  auto address() const -> const std::string&;
  // Number of open connections.
  auto connections() const -> std::size_t;

  // Stops gracefully: accepts no more connections, finishes running requests,
  // and answers those that still arrive with "Connection: close". connections()
  // drops to 0 when all of them have ended. Thread-safe; may be called more
  // than once.
  auto Stop() -> void;

 private:
  std::shared_ptr<detail::ServerCore> core_;
};

}  // namespace kumquatgauge::caller

#endif  // KUMQUATGAUGE_CALLER_CALLER_SERVER_H_
