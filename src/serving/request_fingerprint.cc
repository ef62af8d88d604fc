#include "kumquatgauge/serving/request_fingerprint.h"

#include <openssl/evp.h>

#include <array>
#include <memory>
#include <string>

#include "kumquatgauge/base/error.h"

namespace kumquatgauge::serving {

auto FingerprintOf(std::string_view method,
                   std::string_view host,
                   std::string_view target,
                   std::string_view body) -> RequestFingerprint {
  // Lengths keep the fields apart.
  auto head = std::string();
  for (const auto field : {method, host, target}) {
    head += std::to_string(field.size()) + ":";
    head += field;
  }
  auto digest = std::array<unsigned char, EVP_MAX_MD_SIZE>();
  const auto context = std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)>(
      EVP_MD_CTX_new(), &EVP_MD_CTX_free);
  const auto done =
      context && EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr) == 1 &&
      EVP_DigestUpdate(context.get(), head.data(), head.size()) == 1 &&
      EVP_DigestUpdate(context.get(), body.data(), body.size()) == 1 &&
      EVP_DigestFinal_ex(context.get(), digest.data(), nullptr) == 1;
  if (!done) {
    throw Error(ErrorKind::kInternal, "cannot compute a digest",
                std::string(target), "check the installed OpenSSL library");
  }
  auto fingerprint = RequestFingerprint{0};
  for (std::size_t at = 0; at < sizeof(fingerprint); ++at) {
    fingerprint = fingerprint << 8U | digest[at];
  }
  return fingerprint;
}

}  // namespace kumquatgauge::serving
