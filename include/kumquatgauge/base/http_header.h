#ifndef KUMQUATGAUGE_BASE_HTTP_HEADER_H_
#define KUMQUATGAUGE_BASE_HTTP_HEADER_H_

#include <string>
#include <string_view>
#include <vector>

namespace kumquatgauge {

struct HttpHeader {
  std::string name;
  std::string value;

  auto operator==(const HttpHeader&) const -> bool = default;
};

using HeaderList = std::vector<HttpHeader>;

// Returns the value of the first header called `name`, ignoring case, or an
// empty string if there is none.
auto FindHeader(const HeaderList& headers, std::string_view name)
    -> std::string_view;

// Returns true for hop-by-hop headers, which must not be forwarded.
auto IsHopByHop(std::string_view name) -> bool;

}  // namespace kumquatgauge

#endif  // KUMQUATGAUGE_BASE_HTTP_HEADER_H_
