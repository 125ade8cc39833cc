/// \file
/// \brief The JSON form of the messages by which nodes keep tenants' quotas.

#ifndef YUCCAMOOR_PROTOCOL_FLEET_QUOTA_CODEC_H_
#define YUCCAMOOR_PROTOCOL_FLEET_QUOTA_CODEC_H_

#include <optional>
#include <string>

#include "yuccamoor/coordination/quota/quota_messages.h"
#include "yuccamoor/protocol/json.h"

namespace yuccamoor::fleet {

Json EncodeQuotaMessage(const QuotaMessage& message);

/// Returns nothing for another type; throws Json::exception for a message with
/// missing fields or with numbers out of range.
std::optional<QuotaMessage> DecodeQuotaMessage(const std::string& type,
                                               const Json& json);

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_PROTOCOL_FLEET_QUOTA_CODEC_H_
