// Names requests so that one which comes again is recognized.
#include "Base/RequestIdentity.h"

#include <array>
#include <cstdint>
#include <cstdio>
#include <initializer_list>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "Base/HostName.h"

namespace parsleycove {

namespace {

// Ids of prompt parts hold no colon.
constexpr std::string_view kPrefix = "request:";

} // namespace

std::string
IdentifyRequest(const RequestContent& aContent)
{
  const std::string host = NormalizeHost(aContent.m_host);
  // Each field is preceded by its length, so that no two contents give the same
  // bytes.
  std::string bytes;
  for (const std::string_view field : { aContent.m_method,
                                        std::string_view(host),
                                        aContent.m_target,
                                        aContent.m_account,
                                        aContent.m_prompt }) {
    bytes.append(std::to_string(field.size())).append(":").append(field);
  }
  const std::uint64_t seed = XXH3_64bits(bytes.data(), bytes.size());
  const XXH128_hash_t hash =
    XXH3_128bits_withSeed(aContent.m_body.data(), aContent.m_body.size(), seed);
  std::array<char, 33> hex{};
  std::snprintf(hex.data(),
                hex.size(),
                "%016llx%016llx",
                static_cast<unsigned long long>(hash.high64),
                static_cast<unsigned long long>(hash.low64));
  return std::string(kPrefix) + hex.data();
}

bool
IsWholeRequest(std::string_view aPart)
{
  return aPart.starts_with(kPrefix);
}

} // namespace parsleycove
