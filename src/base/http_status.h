#ifndef BASE_HTTP_STATUS_H_
#define BASE_HTTP_STATUS_H_

namespace kumquatgauge::detail {

inline constexpr unsigned kFirstFinalHttpStatus = 200;

// Returns whether a server may answer with a status code: RFC 9110, section 15,
// has five classes of them. A request here never asks for another protocol, so
// 101 is left out as well. The bytes after a head with any other code cannot be
// told apart into a body and further answers.
inline auto IsHttpStatus(unsigned status) -> bool {
  constexpr unsigned kFirst = 100;
  constexpr unsigned kSwitchingProtocols = 101;
  constexpr unsigned kEnd = 600;
  return status >= kFirst && status < kEnd && status != kSwitchingProtocols;
}

}  // namespace kumquatgauge::detail

#endif  // BASE_HTTP_STATUS_H_
