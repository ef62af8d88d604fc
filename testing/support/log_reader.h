#ifndef TESTING_SUPPORT_LOG_READER_H_
#define TESTING_SUPPORT_LOG_READER_H_

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <stdexcept>
#include <string>
#include <utility>

namespace kumquatgauge::testing {

// Holds the reading end of a new named pipe that takes the log of a process.
class LogReader {
 public:
  explicit LogReader(const std::string& path) {
    constexpr auto kOwnerOnly = 0600;
    if (::mkfifo(path.c_str(), kOwnerOnly) == 0) {
      // Else processes that are started meanwhile would inherit it.
      descriptor_ = ::open(path.c_str(), O_RDONLY | O_NONBLOCK | O_CLOEXEC);
    }
    if (descriptor_ < 0) {
      throw std::runtime_error("cannot open a named pipe at " + path);
    }
  }
  ~LogReader() { Close(); }
  LogReader(const LogReader&) = delete;
  auto operator=(const LogReader&) -> LogReader& = delete;

  auto Close() -> void {
    if (descriptor_ >= 0) {
      ::close(std::exchange(descriptor_, -1));
    }
  }

  auto HasData() const -> bool {
    auto byte = char{0};
    return ::read(descriptor_, &byte, 1) == 1;
  }

 private:
  int descriptor_ = -1;
};

}  // namespace kumquatgauge::testing

#endif  // TESTING_SUPPORT_LOG_READER_H_
