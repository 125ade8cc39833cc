/// \file
/// \brief Base64 text (RFC 4648) for bytes inside JSON.

#ifndef YUCCAMOOR_PROTOCOL_REQUEST_BASE64_H_
#define YUCCAMOOR_PROTOCOL_REQUEST_BASE64_H_

#include <optional>
#include <string>
#include <string_view>

namespace yuccamoor {

/// Returns the padded base64 form of the bytes.
std::string EncodeBase64(std::string_view bytes);

/// Returns the bytes, or nothing if the text is no padded base64.
std::optional<std::string> DecodeBase64(std::string_view text);

}  // namespace yuccamoor

#endif  // YUCCAMOOR_PROTOCOL_REQUEST_BASE64_H_
