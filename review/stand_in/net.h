#ifndef REVIEW_STAND_IN_NET_H_
#define REVIEW_STAND_IN_NET_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Headers = std::vector<std::pair<std::string, std::string>>;

// Returns the value of a header, or an empty string.
auto Find(const Headers& headers, const std::string& name) -> std::string;

struct Request {
  std::string method;
  std::string target;
  Headers headers;
  std::string body;
};

struct Answer {
  int status = 0;  // 0 if there was none.
  Headers headers;
  std::string body;
  bool complete = false;
};

// A blocking TCP connection.
class Connection {
 public:
  explicit Connection(int socket) : socket_(socket) {}
  ~Connection();
  Connection(const Connection&) = delete;
  auto operator=(const Connection&) -> Connection& = delete;

  // Both return false when the connection has ended.
  auto Write(const std::string& bytes) -> bool;
  auto Read(Request& request) -> bool;
  auto Read(Answer& answer) -> bool;
  // Whether the other side has closed.
  auto Ended() const -> bool;
  // Ends the connection with a reset instead of an orderly close.
  auto Reset() -> void;
  auto Shutdown() -> void;

 private:
  auto Fill() -> bool;
  auto ReadLine(std::string& line) -> bool;
  auto ReadHeaders(Headers& headers) -> bool;
  auto ReadBody(const Headers& headers, std::string& body, bool answer) -> bool;
  auto ReadBytes(std::size_t count, std::string& bytes) -> bool;

  int socket_;
  std::string buffer_;
};

// An HTTP/1.1 server on a free port of 127.0.0.1, one thread a connection.
class Server {
 public:
  // Returns false to close the connection.
  using Handler = std::function<auto(const Request&, Connection&)->bool>;

  explicit Server(Handler handler);
  ~Server();
  Server(const Server&) = delete;
  auto operator=(const Server&) -> Server& = delete;
  auto address() const -> const std::string& { return address_; }
  // As when the process ends: resets all connections and refuses new ones.
  auto End() -> void;
  // Listens on the same port again.
  auto StartAgain() -> void;

 private:
  auto Accept() -> void;
  auto Serve(const std::shared_ptr<Connection>& connection) -> void;

  Handler handler_;
  int listener_ = -1;
  std::string address_;
  std::atomic<bool> ended_ = false;
  std::mutex mutex_;
  std::set<std::shared_ptr<Connection>> connections_;
  std::atomic<bool> stopped_ = false;
  std::atomic<int> running_ = 0;
  std::thread thread_;
};

// Writes an answer with a length.
auto Send(Connection& connection,
          int status,
          const Headers& headers,
          const std::string& body) -> bool;

// Connects to "IP:PORT"; null if that fails.
auto Connect(const std::string& address, int timeout_ms)
    -> std::shared_ptr<Connection>;

// Sends a request on a connection and reads the answer.
auto Exchange(Connection& connection, const Request& request) -> Answer;

// The same on a new connection.
auto Call(const std::string& address, const Request& request, int timeout_ms)
    -> Answer;

// Returns a free port of 127.0.0.1.
auto FreePort() -> int;

}  // namespace review

#endif  // REVIEW_STAND_IN_NET_H_
