#include "review/stand_in/net.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>
#include <stdexcept>

namespace review {
namespace {

auto MakeAddress(const std::string& text) -> sockaddr_in {
  const auto colon = text.rfind(':');
  auto address = sockaddr_in();
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(
      std::strtol(text.c_str() + colon + 1, nullptr, 10)));
  inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
  return address;
}

auto Listen(int& port) -> int {
  const auto socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const auto on = 1;
  ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  auto address = MakeAddress("127.0.0.1:" + std::to_string(port));
  auto size = socklen_t(sizeof(address));
  if (::bind(socket, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      ::listen(socket, 256) != 0) {
    throw std::runtime_error("cannot listen on a free port");
  }
  ::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
  port = ntohs(address.sin_port);
  return socket;
}

}  // namespace

auto Find(const Headers& headers, const std::string& name) -> std::string {
  for (const auto& [own, value] : headers) {
    if (strcasecmp(own.c_str(), name.c_str()) == 0) {
      return value;
    }
  }
  return {};
}

Connection::~Connection() {
  ::close(socket_);
}

auto Connection::Write(const std::string& bytes) -> bool {
  auto sent = std::size_t{0};
  while (sent < bytes.size()) {
    const auto count =
        ::send(socket_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

auto Connection::Fill() -> bool {
  constexpr std::size_t kBytes = 65'536;
  auto bytes = std::string(kBytes, '\0');
  const auto count = ::recv(socket_, bytes.data(), bytes.size(), 0);
  if (count <= 0) {
    return false;
  }
  buffer_.append(bytes.data(), static_cast<std::size_t>(count));
  return true;
}

auto Connection::ReadLine(std::string& line) -> bool {
  auto end = buffer_.find("\r\n");
  while (end == std::string::npos) {
    if (!Fill()) {
      return false;
    }
    end = buffer_.find("\r\n");
  }
  line = buffer_.substr(0, end);
  buffer_.erase(0, end + 2);
  return true;
}

auto Connection::ReadBytes(std::size_t count, std::string& bytes) -> bool {
  while (buffer_.size() < count) {
    if (!Fill()) {
      bytes += buffer_;
      buffer_.clear();
      return false;
    }
  }
  bytes += buffer_.substr(0, count);
  buffer_.erase(0, count);
  return true;
}

auto Connection::ReadHeaders(Headers& headers) -> bool {
  auto line = std::string();
  while (ReadLine(line)) {
    if (line.empty()) {
      return true;
    }
    const auto colon = line.find(':');
    const auto value = line.find_first_not_of(' ', colon + 1);
    headers.emplace_back(line.substr(0, colon), value == std::string::npos
                                                    ? std::string()
                                                    : line.substr(value));
  }
  return false;
}

auto Connection::ReadBody(const Headers& headers,
                          std::string& body,
                          bool answer) -> bool {
  constexpr int kHex = 16;
  if (Find(headers, "Transfer-Encoding") == "chunked") {
    auto line = std::string();
    while (ReadLine(line)) {
      const auto size = std::strtoul(line.c_str(), nullptr, kHex);
      auto end = std::string();
      if (size > 0 && !ReadBytes(size, body)) {
        return false;
      }
      if (!ReadLine(end)) {
        return false;
      }
      if (size == 0) {
        return true;
      }
    }
    return false;
  }
  const auto length = Find(headers, "Content-Length");
  if (length.empty()) {
    return !answer;  // These servers always name a length.
  }
  return ReadBytes(std::strtoul(length.c_str(), nullptr, 10), body);
}

auto Connection::Read(Request& request) -> bool {
  auto line = std::string();
  if (!ReadLine(line) || !ReadHeaders(request.headers)) {
    return false;
  }
  const auto first = line.find(' ');
  const auto second = line.find(' ', first + 1);
  request.method = line.substr(0, first);
  request.target = line.substr(first + 1, second - first - 1);
  return ReadBody(request.headers, request.body, false);
}

auto Connection::Read(Answer& answer) -> bool {
  auto line = std::string();
  if (!ReadLine(line) || line.size() < 12 || !ReadHeaders(answer.headers)) {
    return false;
  }
  answer.status = static_cast<int>(std::strtol(&line[9], nullptr, 10));
  answer.complete = ReadBody(answer.headers, answer.body, true);
  return answer.complete;
}

auto Connection::Ended() const -> bool {
  auto byte = char{0};
  return ::recv(socket_, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

auto Connection::Reset() -> void {
  const auto now = linger{1, 0};
  ::setsockopt(socket_, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
}

auto Connection::Shutdown() -> void {
  ::shutdown(socket_, SHUT_RDWR);
}

Server::Server(Handler handler) : handler_(std::move(handler)) {
  auto port = 0;
  listener_ = Listen(port);
  address_ = "127.0.0.1:" + std::to_string(port);
  thread_ = std::thread([this] { Accept(); });
}

Server::~Server() {
  stopped_ = true;
  if (!ended_) {
    End();
  }
  while (running_ > 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
}

auto Server::End() -> void {
  ended_ = true;
  ::shutdown(listener_, SHUT_RDWR);
  thread_.join();
  ::close(listener_);
  const auto lock = std::lock_guard(mutex_);
  for (const auto& connection : connections_) {
    connection->Reset();
    connection->Shutdown();
  }
}

auto Server::StartAgain() -> void {
  auto port = static_cast<int>(
      std::strtol(&address_[address_.rfind(':') + 1], nullptr, 10));
  listener_ = Listen(port);
  ended_ = false;
  thread_ = std::thread([this] { Accept(); });
}

auto Server::Accept() -> void {
  while (!ended_) {
    const auto socket = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (socket < 0) {
      continue;
    }
    const auto on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    auto connection = std::make_shared<Connection>(socket);
    {
      const auto lock = std::lock_guard(mutex_);
      connections_.insert(connection);
    }
    ++running_;
    std::thread([this, connection] {
      Serve(connection);
      --running_;
    }).detach();
  }
}

auto Server::Serve(const std::shared_ptr<Connection>& connection) -> void {
  while (!stopped_) {
    auto request = Request();
    if (!connection->Read(request) || !handler_(request, *connection)) {
      break;
    }
  }
  const auto lock = std::lock_guard(mutex_);
  connections_.erase(connection);
}

auto Send(Connection& connection,
          int status,
          const Headers& headers,
          const std::string& body) -> bool {
  auto text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
  for (const auto& [name, value] : headers) {
    text.append(name).append(": ").append(value).append("\r\n");
  }
  text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  return connection.Write(text);
}

auto Connect(const std::string& address, int timeout_ms)
    -> std::shared_ptr<Connection> {
  const auto target = MakeAddress(address);
  const auto socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  constexpr int kMillisecondsPerSecond = 1'000;
  constexpr suseconds_t kMicrosecondsPerMillisecond = 1'000;
  const auto milliseconds = suseconds_t{timeout_ms % kMillisecondsPerSecond};
  const auto limit = timeval{timeout_ms / kMillisecondsPerSecond,
                             milliseconds * kMicrosecondsPerMillisecond};
  ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  ::setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
  const auto on = 1;
  ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  auto connection = std::make_shared<Connection>(socket);
  if (::connect(socket, reinterpret_cast<const sockaddr*>(&target),
                sizeof(target)) != 0) {
    return nullptr;
  }
  return connection;
}

auto Exchange(Connection& connection, const Request& request) -> Answer {
  auto text = request.method + " " + request.target + " HTTP/1.1\r\n";
  for (const auto& [name, value] : request.headers) {
    text.append(name).append(": ").append(value).append("\r\n");
  }
  if (!request.body.empty() || request.method == "POST") {
    text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
  }
  text += "\r\n" + request.body;
  auto answer = Answer();
  if (connection.Write(text)) {
    connection.Read(answer);
  }
  return answer;
}

auto Call(const std::string& address, const Request& request, int timeout_ms)
    -> Answer {
  const auto connection = Connect(address, timeout_ms);
  return connection ? Exchange(*connection, request) : Answer();
}

// Below the ports that the kernel gives to outgoing connections, and free for
// TCP and UDP.
auto FreePort() -> int {
  constexpr int kFirst = 12'000;
  constexpr int kCount = 18'000;
  static auto next = static_cast<unsigned>(::getpid()) * 37U;
  for (auto tries = 0; tries < kCount; ++tries) {
    const auto port = kFirst + static_cast<int>(next++ % kCount);
    const auto address = MakeAddress("127.0.0.1:" + std::to_string(port));
    auto free = true;
    for (const auto type : {SOCK_STREAM, SOCK_DGRAM}) {
      const auto socket = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
      free = ::bind(socket, reinterpret_cast<const sockaddr*>(&address),
                    sizeof(address)) == 0 &&
             free;
      ::close(socket);
    }
    if (free) {
      return port;
    }
  }
  return 0;
}

}  // namespace review
