/// \file
/// \brief Reads JSON whose strings are not all text.

#ifndef YUCCAMOOR_PROTOCOL_JSON_BYTES_H_
#define YUCCAMOOR_PROTOCOL_JSON_BYTES_H_

#include <string_view>

#include "yuccamoor/protocol/json.h"

namespace yuccamoor {

/// Parses JSON text that another program wrote and whose strings hold bytes of
/// any kind. Bytes that are no UTF-8, control characters and halves of
/// surrogate pairs are kept: a half that stands for a byte (U+DC80 to U+DCFF)
/// as this byte, another one as the three bytes that would encode it. Throws
/// Json::exception as ParseUntrusted does. The strings cannot be written as
/// JSON again.
Json ParseAnyBytes(std::string_view text);

}  // namespace yuccamoor

#endif  // YUCCAMOOR_PROTOCOL_JSON_BYTES_H_
