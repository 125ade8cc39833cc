/// \file
/// \brief JSON of the messages by which daemons exchange news of members.

#ifndef YUCCAMOOR_PROTOCOL_MEMBER_EXCHANGE_CODEC_H_
#define YUCCAMOOR_PROTOCOL_MEMBER_EXCHANGE_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "yuccamoor/coordination/membership/member_replica.h"

namespace yuccamoor {

/// The method of peers that takes and answers with a MemberExchange.
constexpr const char* kMemberExchangeMethod = "members.exchange";

std::string EncodeMemberExchange(const MemberExchange& message);

/// Returns nothing if the text is not such a message.
std::optional<MemberExchange> DecodeMemberExchange(std::string_view text);

}  // namespace yuccamoor

#endif  // YUCCAMOOR_PROTOCOL_MEMBER_EXCHANGE_CODEC_H_
