#include "base/standard_descriptors.h"

#include <fcntl.h>
#include <unistd.h>

#include <initializer_list>

namespace kumquatgauge::detail {

auto OpenStandardDescriptors() -> void {
  for (const auto descriptor : {STDIN_FILENO, STDOUT_FILENO, STDERR_FILENO}) {
    // open() returns the lowest number that is free.
    if (::fcntl(descriptor, F_GETFD) < 0 && ::open("/dev/null", O_RDWR) < 0) {
      return;
    }
  }
}

}  // namespace kumquatgauge::detail
