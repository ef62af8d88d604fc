#ifndef BASE_STANDARD_DESCRIPTORS_H_
#define BASE_STANDARD_DESCRIPTORS_H_

namespace kumquatgauge::detail {

// Opens /dev/null in place of standard descriptors that are closed. Otherwise a
// socket would get such a number, and log lines would be sent to its peer.
auto OpenStandardDescriptors() -> void;

}  // namespace kumquatgauge::detail

#endif  // BASE_STANDARD_DESCRIPTORS_H_
