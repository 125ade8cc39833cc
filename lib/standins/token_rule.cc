/// \file
/// \brief The tokens that the engine stand-in generates.

#include "yuccamoor/standins/token_rule.h"

#include <sstream>

namespace yuccamoor {
namespace {

/// FNV-1a, which is the same in every process.
std::uint64_t HashOf(std::string_view text) {
  constexpr std::uint64_t kOffset = 0xCBF29CE484222325ULL;
  constexpr std::uint64_t kPrime = 0x100000001B3ULL;
  std::uint64_t hash = kOffset;
  for (const unsigned char c : text) hash = (hash ^ c) * kPrime;
  return hash;
}

}  // namespace

std::string ExpectedToken(const AdapterVersion& target, std::string_view prompt,
                          std::uint32_t index) {
  std::ostringstream os;
  os << target << '/' << std::hex << HashOf(prompt) << std::dec << '/' << index
     << ' ';
  return os.str();
}

std::string ExpectedAnswer(const AdapterVersion& target,
                           std::string_view prompt, std::uint32_t tokens) {
  std::string answer;
  for (std::uint32_t i = 0; i < tokens; ++i) {
    answer += ExpectedToken(target, prompt, i);
  }
  return answer;
}

}  // namespace yuccamoor
