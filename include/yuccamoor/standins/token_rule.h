/// \file
/// \brief The tokens that the engine stand-in generates. They name the adapter,
/// the version and the prompt, so that a checker can tell a right answer.

#ifndef YUCCAMOOR_STANDINS_TOKEN_RULE_H_
#define YUCCAMOOR_STANDINS_TOKEN_RULE_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "yuccamoor/state/ids.h"

namespace yuccamoor {

/// Returns the token at \p index of the answer to \p prompt:
/// "adapter@version/prompt-hash/index ", with the hash in hexadecimal digits.
std::string ExpectedToken(const AdapterVersion& target, std::string_view prompt,
                          std::uint32_t index);

/// Returns the first \p tokens tokens of the answer, one after the other.
std::string ExpectedAnswer(const AdapterVersion& target,
                           std::string_view prompt, std::uint32_t tokens);

}  // namespace yuccamoor

#endif  // YUCCAMOOR_STANDINS_TOKEN_RULE_H_
