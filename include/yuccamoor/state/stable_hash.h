/// \file
/// \brief A hash that gives the same value in every process and release.

#ifndef YUCCAMOOR_STATE_STABLE_HASH_H_
#define YUCCAMOOR_STATE_STABLE_HASH_H_

#include <cstdint>
#include <string_view>

namespace yuccamoor {

/// Returns the 64-bit FNV-1a hash of the text.
std::uint64_t StableHash(std::string_view text);

/// Returns StableHash with its bits mixed, so that the leading ones are spread
/// evenly also over names that differ only at their ends.
std::uint64_t StableBucketHash(std::string_view text);

}  // namespace yuccamoor

#endif  // YUCCAMOOR_STATE_STABLE_HASH_H_
