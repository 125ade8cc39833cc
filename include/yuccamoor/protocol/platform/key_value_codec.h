/// \file
/// \brief JSON form of calls to the key-value service and of their replies.

#ifndef YUCCAMOOR_PROTOCOL_PLATFORM_KEY_VALUE_CODEC_H_
#define YUCCAMOOR_PROTOCOL_PLATFORM_KEY_VALUE_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "yuccamoor/state/key_value.h"

namespace yuccamoor {

/// Returns the request's JSON text: an object with "op" and its fields. Throws
/// std::exception if the value is not UTF-8.
std::string EncodeKvRequest(const KvRequest& request);
/// Returns the request, or nothing if the text is not one.
std::optional<KvRequest> DecodeKvRequest(std::string_view text);

/// Returns the reply's JSON text.
std::string EncodeKvReply(const KvReply& reply);
/// Returns the reply, or nothing if the text is not one.
std::optional<KvReply> DecodeKvReply(std::string_view text);

/// Whether the call changes what the service holds.
bool IsKvWrite(const KvRequest& request);
/// Returns the call's "op", for counters and logs.
std::string_view KvOperationName(const KvRequest& request);

}  // namespace yuccamoor

#endif  // YUCCAMOOR_PROTOCOL_PLATFORM_KEY_VALUE_CODEC_H_
