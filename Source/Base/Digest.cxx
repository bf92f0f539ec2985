// Message digests.
#include "Base/Digest.h"

#include <array>

#include <openssl/evp.h>

namespace parsleycove {

std::string
Sha256Hex(std::string_view aText)
{
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int length = 0;
  EVP_Digest(
    aText.data(), aText.size(), digest.data(), &length, EVP_sha256(), nullptr);
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string hex;
  hex.reserve(2 * static_cast<std::size_t>(length));
  for (unsigned int i = 0; i < length; ++i) {
    hex.push_back(kDigits[digest[i] >> 4]);
    hex.push_back(kDigits[digest[i] & 0xF]);
  }
  return hex;
}

} // namespace parsleycove
