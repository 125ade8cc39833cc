/// \file
/// \brief Implementation of the member codec.

#include "yuccamoor/protocol/member_codec.h"

#include "yuccamoor/protocol/json.h"

namespace yuccamoor {
namespace {

constexpr const char* kGatewayName = "gateway";
constexpr const char* kSchedulerName = "scheduler";

}  // namespace

static void to_json(Json& json, const Member& member) {
  json = Json{{"id", member.id},
              {"role", member.role == MemberRole::kGateway ? kGatewayName
                                                           : kSchedulerName},
              {"vm", member.vm},
              {"failure_domain", member.failure_domain},
              {"incarnation", member.incarnation},
              {"address", member.address}};
}

static void from_json(const Json& json, Member& member) {
  json.at("id").get_to(member.id);
  const auto role = json.at("role").get<std::string>();
  if (role != kGatewayName && role != kSchedulerName) {
    throw Json::out_of_range::create(401, "unknown role", &json);
  }
  member.role =
      role == kGatewayName ? MemberRole::kGateway : MemberRole::kScheduler;
  json.at("vm").get_to(member.vm);
  json.at("failure_domain").get_to(member.failure_domain);
  json.at("incarnation").get_to(member.incarnation);
  json.at("address").get_to(member.address);
}

std::string JsonMemberCodec::Encode(const Member& member) const {
  return Json(member).dump();
}

std::optional<Member> JsonMemberCodec::Decode(const std::string& text) const {
  return DecodeJson<Member>(text);
}

}  // namespace yuccamoor
