/// \file
/// \brief Names of segments.

#include "yuccamoor/coordination/config/config_codec.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <array>

namespace yuccamoor {

SegmentHash HashSegment(std::string_view bytes) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  constexpr unsigned kNibble = 15;
  XXH128_canonical_t canonical;
  XXH128_canonicalFromHash(&canonical,
                           XXH3_128bits(bytes.data(), bytes.size()));
  std::string text;
  for (const unsigned char byte : canonical.digest) {
    text += kDigits[byte >> 4U];
    text += kDigits[byte & kNibble];
  }
  return SegmentHash(text);
}

std::string SegmentKey(const SegmentHash& hash) {
  return kConfigSegmentPrefix + hash.str();
}

}  // namespace yuccamoor
