/// \file
/// \brief JSON codec of members.

#ifndef YUCCAMOOR_PROTOCOL_MEMBER_CODEC_H_
#define YUCCAMOOR_PROTOCOL_MEMBER_CODEC_H_

#include <optional>
#include <string>

#include "yuccamoor/coordination/membership/member_table.h"

namespace yuccamoor {

/// The codec.
class JsonMemberCodec final : public MemberCodec {
 public:
  std::string Encode(const Member& member) const override;
  std::optional<Member> Decode(const std::string& text) const override;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_PROTOCOL_MEMBER_CODEC_H_
