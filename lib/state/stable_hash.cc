/// \file
/// \brief Implementation of the stable hashes.

#include "yuccamoor/state/stable_hash.h"

namespace yuccamoor {

std::uint64_t StableHash(std::string_view text) {
  constexpr std::uint64_t kOffsetBasis = 14695981039346656037ULL;
  constexpr std::uint64_t kPrime = 1099511628211ULL;
  std::uint64_t hash = kOffsetBasis;
  for (const char c : text) {
    hash ^= static_cast<unsigned char>(c);
    hash *= kPrime;
  }
  return hash;
}

std::uint64_t StableBucketHash(std::string_view text) {
  constexpr std::uint64_t kFirstFactor = 0xFF51AFD7ED558CCDULL;
  constexpr std::uint64_t kSecondFactor = 0xC4CEB9FE1A85EC53ULL;
  constexpr int kShift = 33;
  std::uint64_t hash = StableHash(text);
  hash ^= hash >> kShift;
  hash *= kFirstFactor;
  hash ^= hash >> kShift;
  hash *= kSecondFactor;
  hash ^= hash >> kShift;
  return hash;
}

}  // namespace yuccamoor
